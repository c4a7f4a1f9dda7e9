// Command bronzeusher is a layer-4 load balancer for the services of many
// customers. Every entry VM runs the same program.
//
// # Usage
//
//	bronzeusher serve --name riga-a-1 --fleet riga --availability-zone riga-a ...
//	bronzeusher check records/*.json
//	bronzeusher show --address 192.0.2.1:6083
//	bronzeusher demo --deployment klang --disturb rolling
//	bronzeusher version
//
// Each flag can also be set by an environment variable: --edge-address is
// BRONZEUSHER_EDGE_ADDRESS. Logs go to standard error as JSON lines. serve
// leaves the fleet gracefully on SIGTERM; a second SIGTERM stops it at once.
//
// The exit code is 0 for success, 1 for a failure, which includes invalid
// records and a demo that broke a promise, and 2 for an invalid command line
// or setting.
package main
