package paheader

const (
	// minStatus and maxStatus are the least and the largest status that is one (RFC 9110, section 15).
	minStatus = 100
	maxStatus = 599
)

// IsStatus reports whether a number is a status. A response with another one says that its server is in trouble.
func IsStatus(n int) bool { return n >= minStatus && n <= maxStatus }
