// Command papayastand runs the stand-ins that a deployment of entry VMs needs on loopback: the platform, targets, callers
// and the wire between availability zones.
package main
