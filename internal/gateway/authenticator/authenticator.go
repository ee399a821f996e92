// Package authenticator tells who calls: the team of a caller's credential, a
// peer or an operator by a token. Credentials are compared by hash or in
// constant time and never logged.
//
// # Usage
//
//	team, ok := authenticator.Team(r, board.TeamByCredential)
//	ok = authenticator.Equal(r.Header.Get(authenticator.HeaderPeerToken), token)
package authenticator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
)

// HeaderPeerToken carries the token by which nodes know each other.
const HeaderPeerToken = "X-Peer-Token"

const maxCredentialBytes = 512

// Hash returns the hex SHA-256 sum by which a credential is stored.
func Hash(credential string) string {
	sum := sha256.Sum256([]byte(credential))
	return hex.EncodeToString(sum[:])
}

// Bearer returns the credential of a request's Authorization header, or "".
func Bearer(r *http.Request) string {
	kind, credential, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(kind, "Bearer") || len(credential) > maxCredentialBytes {
		return ""
	}
	return credential
}

// Team returns the team of the request's credential. lookup finds a team by the
// hash of its credential.
func Team(r *http.Request, lookup func(hash string) (string, bool)) (string, bool) {
	credential := Bearer(r)
	if credential == "" {
		return "", false
	}
	return lookup(Hash(credential))
}

// Equal compares two secrets in constant time. An empty wanted secret matches
// nothing.
func Equal(given, wanted string) bool {
	a, b := sha256.Sum256([]byte(given)), sha256.Sum256([]byte(wanted))
	return wanted != "" && subtle.ConstantTimeCompare(a[:], b[:]) == 1
}
