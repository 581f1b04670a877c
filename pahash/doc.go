// Package pahash hashes names, the same at all entry VMs.
package pahash
