package paroll

import (
	"papayahead/pabundle"
	"papayahead/paplatform"
)

// HeadKey returns the key of a deployment's head in the store.
func HeadKey(deployment string) paplatform.Key {
	return paplatform.Key("Bundles/" + deployment + "/Head")
}

// PieceKey returns the key of a piece in the store.
func PieceKey(deployment string, d pabundle.Digest) paplatform.Key {
	return paplatform.Key("Bundles/" + deployment + "/Pieces/" + string(d))
}

// VersionKey returns the key of a version's record in the store.
func VersionKey(deployment string, d pabundle.Digest) paplatform.Key {
	return versionPrefix(deployment) + paplatform.Key(d)
}

func versionPrefix(deployment string) paplatform.Key {
	return paplatform.Key("Bundles/" + deployment + "/Versions/")
}
