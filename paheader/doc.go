// Package paheader removes hop-by-hop header fields, which a proxy must not forward.
package paheader
