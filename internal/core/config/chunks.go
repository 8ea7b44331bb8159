package config

import (
	"crypto/sha256"
	"encoding/hex"
	"math/bits"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// chunkEntries is the intended number of entries per chunk. A change resends its
// chunk and the head, which names every chunk: at 15,000 adapters their sizes are
// of the same order.
const chunkEntries = 128

// MaxChunkBytes is the maximum size of a chunk; the object API takes values up to
// 1 MB.
const MaxChunkBytes = 512 << 10

// canonicalMode encodes equal values as equal bytes.
var canonicalMode = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(Error.Wrap(err)) // can't happen: the options are fixed
	}
	return mode
}()

// Encode splits a document into content-addressed chunks, returned by hash. The
// caller fills in the head's Version, By, At and WriteID. Entries are assigned to
// chunks by a hash of their identity, so a change of one entry changes one chunk.
// A chunk over MaxChunkBytes is an error.
func Encode(d *Document) (Head, map[string][]byte, error) {
	c := Canonical(d)
	e := encoder{chunks: map[string][]byte{}}
	split(&e, c.BaseModels, func(p *Document, list []BaseModel) { p.BaseModels = list })
	split(&e, c.Workspaces, func(p *Document, list []Workspace) { p.Workspaces = list })
	split(&e, c.Keys, func(p *Document, list []Key) { p.Keys = list })
	split(&e, c.Adapters, func(p *Document, list []Adapter) { p.Adapters = list })
	split(&e, c.Routes, func(p *Document, list []Route) { p.Routes = list })
	split(&e, c.Upstreams, func(p *Document, list []Upstream) { p.Upstreams = list })
	if e.err != nil {
		return Head{}, nil, e.err
	}
	return Head{Hash: hashOfHashes(e.order), Chunks: e.order}, e.chunks, nil
}

type encoder struct {
	chunks map[string][]byte
	order  []string
	err    error
}

// split adds the chunks of one list. Their number is a power of two, so that a
// growing list seldom moves entries between chunks.
func split[T Entry](e *encoder, list []T, set func(*Document, []T)) {
	n := uint64(1)
	if over := (len(list) - 1) / chunkEntries; over > 0 {
		n = 1 << bits.Len(uint(over))
	}
	buckets := make([][]T, n)
	for _, x := range list {
		b := xxhash.Sum64String(x.Identity()) % n
		buckets[b] = append(buckets[b], x)
	}
	for _, bucket := range buckets {
		if len(bucket) > 0 {
			var part Document
			set(&part, bucket)
			e.add(&part)
		}
	}
}

func (e *encoder) add(part *Document) {
	b, err := canonicalMode.Marshal(part)
	if err != nil {
		e.err = Error.Wrap(err)
		return
	}
	if len(b) > MaxChunkBytes {
		e.err = Error.New("a chunk has %d bytes, more than the maximum of %d", len(b), MaxChunkBytes)
		return
	}
	h := HashChunk(b)
	e.chunks[h] = b
	e.order = append(e.order, h)
}

// HashChunk returns the name of a chunk: the hex SHA-256 of its content.
func HashChunk(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

func hashOfHashes(order []string) string {
	h := sha256.New()
	for _, x := range order {
		h.Write([]byte(x))
	}
	return hex.EncodeToString(h.Sum(nil))
}

// MissingChunks returns the chunks of a head for which have returns false.
func MissingChunks(h Head, have func(hash string) bool) []string {
	var out []string
	for _, x := range h.Chunks {
		if !have(x) {
			out = append(out, x)
		}
	}
	return out
}

// Decode assembles a document from its chunks. It checks every hash: the result is
// either the accepted document or an error.
func Decode(h Head, get func(hash string) ([]byte, bool)) (*Document, error) {
	return new(Decoder).Decode(h, get)
}

// Decoder keeps the decoded chunks of its last document, so that the next document
// costs only the chunks that changed.
type Decoder struct{ parts map[string]*Document }

// Decode is like the function Decode, but reuses the chunks of the last call. The
// result shares their entries and must not be changed.
func (x *Decoder) Decode(h Head, get func(hash string) ([]byte, bool)) (*Document, error) {
	if hashOfHashes(h.Chunks) != h.Hash {
		return nil, Error.New("version %d: the head's hash does not match its chunks", h.Version)
	}
	d, parts := &Document{}, make(map[string]*Document, len(h.Chunks))
	for _, name := range h.Chunks {
		part := x.parts[name]
		if part == nil {
			var err error
			if part, err = decodeChunk(h.Version, name, get); err != nil {
				return nil, err
			}
		}
		parts[name] = part
		d.appendPart(part)
	}
	x.parts = parts
	return Canonical(d), nil
}

// decodeChunk decodes one chunk after checking that its content matches its name.
func decodeChunk(version uint64, name string, get func(hash string) ([]byte, bool)) (*Document, error) {
	b, ok := get(name)
	if !ok {
		return nil, Error.New("version %d: chunk %s is missing", version, shortHash(name))
	}
	if HashChunk(b) != name {
		return nil, Error.New("version %d: the content of chunk %s does not match its hash", version, shortHash(name))
	}
	part := &Document{}
	if err := cbor.Unmarshal(b, part); err != nil {
		return nil, Error.Wrap(err)
	}
	return part, nil
}

func (d *Document) appendPart(part *Document) {
	d.BaseModels = append(d.BaseModels, part.BaseModels...)
	d.Workspaces = append(d.Workspaces, part.Workspaces...)
	d.Keys = append(d.Keys, part.Keys...)
	d.Adapters = append(d.Adapters, part.Adapters...)
	d.Routes = append(d.Routes, part.Routes...)
	d.Upstreams = append(d.Upstreams, part.Upstreams...)
}
