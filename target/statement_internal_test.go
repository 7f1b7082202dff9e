package target

import "testing"

// TestTransactionControlIsDetected guards against a COMMIT in a caller's statement that is not detected because of
// comments, white space or letter case.
func TestTransactionControlIsDetected(t *testing.T) {
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
				t.Errorf("%q is not detected as transaction control", sql)
			}
		}
		if sql := prefix + "SELECT 'x'" + suffix; controlsTransaction(sql) {
			t.Errorf("%q is detected as transaction control", sql)
		}
	}
}

// TestHashDistinguishesStatements guards against hash collisions, which make the ledger treat two requests as one.
func TestHashDistinguishesStatements(t *testing.T) {
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
