// Command flowlab runs the scripts of the second review. It starts target/bronzeedge processes on
// loopback addresses, between stand-ins of the platform: the project's stand-in of the store, and
// routers, hosts and clients written after the users' page on the protocol.
//
// # Usage
//
//	flowlab CASE FOLDER
//
// CASE names a scenario in this package. FOLDER receives record.txt. The environment variable
// TROUBLE=0 leaves out the disruption. The exit code is 1 if the rule was broken, 0 if it held,
// and 2 if the case could not run.
package main
