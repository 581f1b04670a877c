// Package pakey reads the credentials of requests and finds whose they are.
//
// Parse takes a key out of the Authorization field of a request (RFC 9110, 11.6.2; RFC 6750, 2.1). A Ring finds the
// holder of a key by a keyed digest, so that the time of a look-up tells nothing of the keys it knows. Errors never hold
// what the caller sent. Nothing in this package does any I/O.
package pakey
