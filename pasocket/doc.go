// Package pasocket asks the system about connections and counts their bytes.
package pasocket
