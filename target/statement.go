package target

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"unicode"
)

// transactionControlKeywords are the first words of statements that begin or end a transaction. Callers may not use
// them, because the outcome of a request depends on the transaction that this package runs it in.
var transactionControlKeywords = map[string]bool{
	"BEGIN": true, "START": true, "COMMIT": true, "END": true, "ROLLBACK": true, "ABORT": true, "PREPARE": true,
}

// controlsTransaction reports whether a statement begins or ends a transaction.
func controlsTransaction(sql string) bool {
	return transactionControlKeywords[firstKeyword(sql)]
}

// firstKeyword skips comments and empty statements and returns the first word of a statement in upper case.
func firstKeyword(sql string) string {
	for {
		sql = strings.TrimLeftFunc(sql, func(r rune) bool { return unicode.IsSpace(r) || r == ';' })
		switch {
		case strings.HasPrefix(sql, "--"):
			_, sql, _ = strings.Cut(sql, "\n")
		case strings.HasPrefix(sql, "/*"):
			sql = sql[blockCommentLength(sql):]
		default:
			end := strings.IndexFunc(sql, func(r rune) bool { return !unicode.IsLetter(r) })
			if end < 0 {
				end = len(sql)
			}
			return strings.ToUpper(sql[:end])
		}
	}
}

// blockCommentLength returns the length of the block comment at the start of text. Block comments nest. An unterminated
// comment extends to the end of the text.
func blockCommentLength(text string) int {
	depth := 0
	for i := 0; i+1 < len(text); i++ {
		switch text[i : i+2] {
		case "/*":
			depth++
			i++
		case "*/":
			depth--
			i++
		}
		if depth == 0 {
			return i + 1
		}
	}
	return len(text)
}

// hash returns the hash that identifies a statement and its arguments in the request ledger.
func (s Statement) hash() string {
	digest := sha256.New()
	write := func(text string) {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(text)))
		digest.Write(length[:])
		digest.Write([]byte(text))
	}
	write(s.SQL)
	for _, value := range s.encodedArgs() {
		if value == nil {
			write("null")
			continue
		}
		// The prefix distinguishes the text "null" from a null.
		write("=" + string(value))
	}
	return hex.EncodeToString(digest.Sum(nil))
}
