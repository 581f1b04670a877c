// Package paheader reads and cleans the headers of requests and responses: it removes hop-by-hop fields, which a proxy must not forward,
// finds heads that are those of two responses, and parses what targets say of themselves.
package paheader
