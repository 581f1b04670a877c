// Package pasocket checks the sockets of connections for pending input and counts the bytes of connections.
package pasocket
