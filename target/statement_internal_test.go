package target

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestTransactionControlIsFound guards against a COMMIT that reaches the target as a caller's statement because
// comments, white space or letter case hide it.
func TestTransactionControlIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		noise := rapid.SampledFrom([]string{" ", "\t\n", ";", "-- COMMIT 'x\n", "/* a /* b */ */", "/**/", "/* ' */", "/*/ */"})
		prefix := strings.Join(rapid.SliceOfN(noise, 0, 6).Draw(t, "prefix"), "")
		keyword := rapid.SampledFrom([]string{"BEGIN", "commit", "End", "ROLLBACK", "abort", "START", "PREPARE"}).Draw(t, "keyword")
		suffix := rapid.SampledFrom([]string{"", ";", "/* x */", " WORK", "\n"}).Draw(t, "suffix")
		if sql := prefix + keyword + suffix; !controlsTransaction(sql) {
			t.Fatalf("%q is not found", sql)
		}
		if sql := prefix + "SELECT 'x'" + suffix; controlsTransaction(sql) {
			t.Fatalf("%q is taken for transaction control", sql)
		}
	})
}

// TestHashTellsStatementsApart guards against two requests that the ledger takes for the same one.
func TestHashTellsStatementsApart(t *testing.T) {
	statements := []Statement{
		{SQL: "ab"},
		{SQL: "a", Args: []string{"b"}},
		{SQL: "a", Args: []string{"b", ""}},
		{SQL: "a", Args: []string{"", "b"}},
		{SQL: "a", Args: []string{"null"}},
		{SQL: "a", Args: []string{"null"}, NullArgs: []bool{true}},
	}
	seen := map[string]Statement{}
	for _, s := range statements {
		if other, found := seen[s.hash()]; found {
			t.Errorf("%+v and %+v have the same hash", s, other)
		}
		seen[s.hash()] = s
	}
}
