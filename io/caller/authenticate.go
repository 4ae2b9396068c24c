package caller

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/kataras/iris/v12"

	"wisteriadyke/core/declare"
)

// bearerPrefix stands before the key in the Authorization header.
const bearerPrefix = "Bearer "

// authenticate returns the client account whose key the call carries.
func (s *Server) authenticate(ctx iris.Context, configuration declare.Configuration) (declare.Account, bool) {
	key, found := strings.CutPrefix(ctx.GetHeader("Authorization"), bearerPrefix)
	if !found {
		return declare.Account{}, false
	}
	sum := sha256.Sum256([]byte(key))
	digest := []byte(hex.EncodeToString(sum[:]))
	var match declare.Account
	matched := 0
	for _, account := range configuration.Accounts {
		if subtle.ConstantTimeCompare(digest, []byte(account.KeyDigest)) == 1 {
			match = account
			matched = 1
		}
	}
	return match, matched == 1
}
