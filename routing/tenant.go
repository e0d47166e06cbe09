package routing

import "crypto/sha256"

// Tenant is a group of callers that share API keys and a quota.
type Tenant struct {
	Name string
	// Keys holds the digests of the tenant's API keys. The keys themselves are only in Item.Source, which stays
	// with control.
	Keys []KeyDigest
	// Rate is the number of requests per second that all routers together let through, and Burst how many more
	// may come at once. There is no limit if Rate is 0.
	Rate  float64
	Burst float64
	// Priority takes precedence over that of routes if HasPriority is set; 0 is the highest.
	Priority    int
	HasPriority bool
	// Regions lists the regions in which the tenant's requests may be served; empty means all.
	Regions []string
}

// KeyDigest identifies an API key without containing it.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key []byte) KeyDigest { return sha256.Sum256(key) }

// Limited reports whether the tenant has a quota.
func (t *Tenant) Limited() bool { return t.Rate > 0 }
