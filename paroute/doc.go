// Package paroute holds the routing configuration of entry VMs: routes, the services behind them, workspaces and limits on
// what a caller may send.
//
// A Table finds the route of a request by host and longest path prefix. A Splitter divides the requests of a route among
// several services in exact proportion to their weights. The package does no I/O.
package paroute
