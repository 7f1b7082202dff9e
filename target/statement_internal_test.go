package target

import "testing"

// TestTransactionControlIsFound guards against a COMMIT that reaches the target as a caller's statement because
// comments, white space or letter case hide it.
func TestTransactionControlIsFound(t *testing.T) {
	noise := []string{"", " ", "\t\n", ";", "-- COMMIT 'x\n", "/* a /* b */ */", "/**/", "/* ' */", "/*/ */"}
	for _, first := range noise {
		for _, second := range noise {
			for _, third := range noise {
				checkControl(t, first+second+third)
			}
		}
	}
}

func checkControl(t *testing.T, prefix string) {
	t.Helper()
	for _, suffix := range []string{"", ";", "/* x */", " WORK", "\n"} {
		for _, keyword := range []string{"BEGIN", "commit", "End", "ROLLBACK", "abort", "START", "PREPARE"} {
			if sql := prefix + keyword + suffix; !controlsTransaction(sql) {
				t.Errorf("%q is not found", sql)
			}
		}
		if sql := prefix + "SELECT 'x'" + suffix; controlsTransaction(sql) {
			t.Errorf("%q is taken for transaction control", sql)
		}
	}
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
