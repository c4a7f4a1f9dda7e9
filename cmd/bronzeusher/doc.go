// Command bronzeusher is a layer-4 load balancer for services of many
// customers, the same program on every entry VM.
//
// # Usage
//
//	bronzeusher serve --name riga-a-1 --fleet riga --availability-zone riga-a ...
//	bronzeusher check records/*.json
//	bronzeusher show --address 192.0.2.1:6083
//	bronzeusher demo --deployment klang --disturb rolling
//	bronzeusher version
//
// Each flag can be set by an environment variable, too: --edge-address is
// BRONZEUSHER_EDGE_ADDRESS. Logs go to standard error as JSON lines. serve
// leaves the fleet gracefully on SIGTERM; a second SIGTERM ends it at once.
//
// The exit code is 0 for success, 1 for a failure, which includes records with
// faults and a demo that broke a promise, and 2 for a wrong command line.
package main
