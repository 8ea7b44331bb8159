package admin

import (
	"crypto/hmac"
	"crypto/rand"
	"encoding/base32"
	"strings"

	"gentiancroft/internal/core/config"
)

// keyBytes is the number of random bytes in a new key.
const keyBytes = 20

// NewKey returns a new key for a caller or an operator, and its keyed hash. Only
// the hash is stored; the caller shows the key once.
func NewKey(secret []byte) (key, hash string) {
	var b [keyBytes]byte
	_, _ = rand.Read(b[:])
	key = "gk_" + strings.ToLower(base32.StdEncoding.WithPadding(base32.NoPadding).EncodeToString(b[:]))
	return key, config.HashKey(secret, key)
}

// Operators authenticates operators by the keyed hashes of their keys.
type Operators struct {
	secret []byte
	hashes map[string]string // name -> keyed hash
}

// NewOperators returns the operators given in the settings; hashes maps a name to
// the keyed hash of its key.
func NewOperators(secret []byte, hashes map[string]string) *Operators {
	return &Operators{secret: secret, hashes: hashes}
}

// Authenticate returns the name of the operator with a key, or a Denied error. It
// compares every hash, each in constant time.
func (o *Operators) Authenticate(key string) (string, error) {
	hash := []byte(config.HashKey(o.secret, key))
	found := ""
	for name, known := range o.hashes {
		if hmac.Equal(hash, []byte(known)) {
			found = name
		}
	}
	if found == "" {
		return "", Denied.New("the key belongs to no operator")
	}
	return found, nil
}

// IsOperator reports whether the settings list an operator of this name.
func (o *Operators) IsOperator(name string) bool {
	_, ok := o.hashes[name]
	return ok
}
