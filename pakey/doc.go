// Package pakey parses the API keys of requests and looks up their holders.
//
// Parse reads a key from the Authorization field of a request (RFC 9110, 11.6.2; RFC 6750, 2.1). A Keyring looks up the
// holder of a key by a keyed digest, so that the time of a lookup reveals nothing about the keys that it contains. Errors
// never contain what the caller sent. The package does no I/O.
package pakey
