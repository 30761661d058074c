// Package zlcbor makes the decoders of messages between VMs, which are CBOR. A message is
// rejected if it exceeds the limits of its protocol. The package knows no message.
package zlcbor

import "github.com/fxamacker/cbor/v2"

// Limits bound a message.
type Limits struct {
	// Elements bounds each list and Pairs each map, in entries.
	Elements int
	Pairs    int
	// Depth bounds the nesting, in levels.
	Depth int
}

// NewDecoder returns a decoder. It panics if the library does not allow the limits, which are
// constants of a package.
func NewDecoder(l Limits) cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: l.Elements,
		MaxMapPairs:      l.Pairs,
		MaxNestedLevels:  l.Depth,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
