// Package quarantine decides which requests no instance is to run any more, because
// instances end under them: queries of death.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// digestBytes is the length of a Digest. With a thousand of them kept and 66 million requests a
// second, a request is taken for another one once in 10^18 years; and nobody can make one
// that is.
const digestBytes = 16

// Digest recognises a request when it comes again. The zero value: it is not known.
type Digest [digestBytes]byte

// shownBytes of a digest are enough for people who read logs.
const shownBytes = 4

// String returns the beginning of the digest, for logs.
func (d Digest) String() string { return hex.EncodeToString(d[:shownBytes]) }

// Hex returns the whole digest, as operators type it.
func (d Digest) Hex() string { return hex.EncodeToString(d[:]) }

// Identity is what a request is known by. IDs, deadlines and the ways by which it comes are
// no part of it: they differ each time.
type Identity struct {
	// Any recognises the request whoever makes it, Own when the same caller does. What ends
	// instances for one caller may be served to others, by its rights for example.
	Any Digest
	Own Digest
}

// String returns the beginnings of both digests, for logs.
func (i Identity) String() string { return i.Any.String() + "/" + i.Own.String() }

// Known reports whether there is an identity.
func (i Identity) Known() bool { return i != Identity{} }

// Request is what an identity is made of.
type Request struct {
	Method, Host, Target []byte
	// Body is the whole body; nil for one that is too long to be kept, whose Length stands for
	// it. Length is negative where it is not known.
	Body   []byte
	Length int
	// Caller are the values of the fields by which callers are told apart, in a fixed order.
	Caller [][]byte
}

// Identity returns the request's identity. It works in scratch, and returns that for the next
// one: a request makes no garbage by its identity.
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
	copy(identity.Own[:], sum[:])
	return identity, parts
}

// appendPart appends a part behind its length, so that no two lists of parts are alike.
func appendPart(parts, part []byte) []byte {
	parts = binary.LittleEndian.AppendUint64(parts, uint64(len(part)))
	return append(parts, part...)
}
