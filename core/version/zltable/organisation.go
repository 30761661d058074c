package zltable

import (
	"crypto/sha256"

	"zinnialock/core/process/zlunit"
)

// KeyDigest is a hash of a caller's key. Keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}

// Organisation is a customer of the deployment, whose callers send one of its keys.
type Organisation struct {
	Name zlunit.Organisation
	// Keys are the digests of its keys.
	Keys []KeyDigest
	// Priority goes before that of the route if HasPriority is set; 0 is the most urgent.
	Priority    int
	HasPriority bool
	// Rate is how many requests a second all VMs together may take from it, and Burst how
	// many besides at once; a Rate of 0 means no limit.
	Rate  float64
	Burst float64
}
