// Package requestkey identifies requests by what all attempts and repeats of one request have in common.
package requestkey

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// Bytes is the size of a key.
const Bytes = 16

// Key identifies the content of a request. It is a keyed hash, so nothing of the content can be read
// from it.
type Key [Bytes]byte

// String returns the key in hexadecimal digits.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Content is what all attempts and repeats of one request have in common.
type Content struct {
	Tenant, Method, Host, Target string
	// Program, Session and PreviousTurn place a request of an agent program.
	Program, Session, PreviousTurn string
	// Prompt are the parts of the prompt that the request names.
	Prompt []string
	Body   []byte
}

// Of returns the key of a content. Only processes with the same secret get the same key.
func Of(secret uint64, content Content) Key {
	sum := hmac.New(sha256.New, binary.BigEndian.AppendUint64(nil, secret))
	for _, field := range []string{
		content.Tenant, content.Method, content.Host, content.Target, content.Program, content.Session, content.PreviousTurn,
	} {
		writeField(sum, []byte(field))
	}
	for _, part := range content.Prompt {
		writeField(sum, []byte(part))
	}
	writeField(sum, content.Body)
	return Key(sum.Sum(nil)[:Bytes])
}

// writeField adds a field and its length, so that no two lists of fields give the same bytes.
func writeField(sum hash.Hash, field []byte) {
	// A hash never returns an error.
	_, _ = sum.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
	_, _ = sum.Write(field)
}
