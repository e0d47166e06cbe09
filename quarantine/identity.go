// Package quarantine decides which requests must no longer be run because they crash the instances
// that run them ("queries of death").
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// digestBytes is the length of a Digest, which makes accidental matches negligible and deliberate ones
// infeasible: with a thousand records and 66 million requests a second, one request is taken for another
// once in 10^18 years.
const digestBytes = 16

// Digest identifies equal requests. The zero value means that the request is not identified.
type Digest [digestBytes]byte

// prefixBytes is the length of the prefix shown in logs.
const prefixBytes = 4

// String returns the first bytes of the digest in hexadecimal, for logs.
func (d Digest) String() string { return hex.EncodeToString(d[:prefixBytes]) }

// Hex returns the whole digest in hexadecimal, as used in operator commands.
func (d Digest) Hex() string { return hex.EncodeToString(d[:]) }

// Identity identifies equal requests. It does not cover request IDs, deadlines and the path that the
// request took, which differ each time.
type Identity struct {
	// Any identifies the request from any caller, PerCaller the request from one caller. A request that
	// crashes instances for one caller may succeed for others, for example due to different
	// permissions.
	Any       Digest
	PerCaller Digest
}

// String returns the prefixes of both digests, for logs.
func (i Identity) String() string { return i.Any.String() + "/" + i.PerCaller.String() }

// Known reports whether the identity is not zero.
func (i Identity) Known() bool { return i != Identity{} }

// Request holds the parts of a request that its identity is computed from.
type Request struct {
	Method, Host, Target []byte
	// Body is the whole body, or nil if it is too long to be buffered, in which case only Length
	// counts. Length is negative if it is unknown.
	Body   []byte
	Length int
	// Caller holds the values of the header fields that distinguish callers, in a fixed order.
	Caller [][]byte
}

// Identity returns the request's identity, and the scratch buffer for reuse in the next call, which
// then allocates nothing.
func (r *Request) Identity(scratch []byte) (Identity, []byte) {
	parts := scratch[:0]
	for _, part := range [...][]byte{r.Method, r.Host, r.Target} {
		parts = appendPart(parts, part)
	}
	parts = binary.LittleEndian.AppendUint64(parts, uint64(r.Length))
	parts = appendPart(parts, r.Body)
	var identity Identity
	sum := sha256.Sum256(parts)
	copy(identity.Any[:], sum[:])
	parts = append(parts[:0], sum[:]...)
	for _, part := range r.Caller {
		parts = appendPart(parts, part)
	}
	sum = sha256.Sum256(parts)
	copy(identity.PerCaller[:], sum[:])
	return identity, parts
}

// appendPart appends a part preceded by its length, so that different lists of parts never encode alike.
func appendPart(parts, part []byte) []byte {
	parts = binary.LittleEndian.AppendUint64(parts, uint64(len(part)))
	return append(parts, part...)
}
