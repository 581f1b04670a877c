package paheader

import "net/http"

// IsUnframed reports whether a response says no length: its body, if it has one, ends with its connection.
func IsUnframed(r *http.Response) bool { return r.ContentLength < 0 && len(r.TransferEncoding) == 0 }
