// Package paquarantine decides which requests are held off because the targets that run them end.
//
// A request whose run ends its target takes a target with it at each try, at every entry VM, and with it all other
// requests there. What is kept of a failure must therefore be kept against the request too, by its content, since
// each try has an ID of its own. A Quarantine collects what all entry VMs saw: which requests a target had when it
// ended (Loss), which were run to their end, and which targets have answered since after all. From that it derives
// which requests explain the ends; the others that were lost with them are not blamed.
//
// It does no I/O: the caller confirms that a target has ended, and carries findings between entry VMs.
package paquarantine
