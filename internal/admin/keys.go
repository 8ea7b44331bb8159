package admin

import (
	"crypto/hmac"
	"crypto/rand"
	"encoding/base32"
	"strings"

	"gentiancroft/internal/core/config"
)

// keyBytes is the entropy of a new key.
const keyBytes = 20

// NewKey makes a caller's or an operator's key and the keyed hash that is kept
// of it. The key itself is shown once and kept nowhere.
func NewKey(secret []byte) (key, hash string) {
	var b [keyBytes]byte
	_, _ = rand.Read(b[:])
	key = "gk_" + strings.ToLower(base32.StdEncoding.WithPadding(base32.NoPadding).EncodeToString(b[:]))
	return key, config.HashKey(secret, key)
}

// Operators knows operators by the keyed hashes of their keys.
type Operators struct {
	secret []byte
	hashes map[string]string // name -> keyed hash
}

// NewOperators returns the operators of the settings: name to keyed hash.
func NewOperators(secret []byte, hashes map[string]string) *Operators {
	return &Operators{secret: secret, hashes: hashes}
}

// Check returns the operator whose key this is. Every hash is compared, each in
// constant time.
func (o *Operators) Check(key string) (string, error) {
	hash := []byte(config.HashKey(o.secret, key))
	found := ""
	for name, want := range o.hashes {
		if hmac.Equal(hash, []byte(want)) {
			found = name
		}
	}
	if found == "" {
		return "", Denied.New("this is no operator's key")
	}
	return found, nil
}

// Known reports whether an operator still is one.
func (o *Operators) Known(name string) bool {
	_, ok := o.hashes[name]
	return ok
}
