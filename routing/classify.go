// Package routing selects the target of a statement. It classifies statements without an SQL parser and routes reads by
// the session's mark, the maximum staleness and the state of the group.
//
// The package performs no I/O: time and state are passed as arguments.
package routing

import (
	"slices"
	"strings"
)

// Class determines where a statement may run.
type Class uint8

const (
	// ClassPrimary requires the primary. It is also the class of statements that cannot be classified reliably.
	ClassPrimary Class = iota
	// ClassRead may run on a replica in a read-only transaction.
	ClassRead
	// ClassSessionState changes the state of its connection, or requires a transaction like SAVEPOINT. It is allowed
	// only inside a transaction, because connections are shared.
	ClassSessionState
	// ClassTransactionControl begins or ends a transaction. It is always refused; the transaction API replaces it.
	ClassTransactionControl
	// ClassGroupCommand calls a command of the replication group, such as group_promote. It is always refused, because
	// only the home of a service may change its group.
	ClassGroupCommand
)

// String returns the name of the class for logs.
func (c Class) String() string {
	switch c {
	case ClassPrimary:
		return "primary"
	case ClassRead:
		return "read"
	case ClassSessionState:
		return "session state"
	case ClassTransactionControl:
		return "transaction control"
	case ClassGroupCommand:
		return "group command"
	}
	return "invalid"
}

// Classification is the class of a statement with the reason for it.
type Classification struct {
	Class  Class
	Reason string
}

// MayRunOnReplica reports whether the statement may run on a replica. A caller's declaration as read-only overrides only
// ClassPrimary. If the declaration is wrong, the replica refuses the statement.
func (c Classification) MayRunOnReplica(declaredReadOnly bool) bool {
	return c.Class == ClassRead || c.Class == ClassPrimary && declaredReadOnly
}

var transactionKeywords = []string{
	"abort", "begin", "commit", "end", "rollback", "start",
}

var sessionStateKeywords = []string{
	"close", "deallocate", "declare", "discard", "execute", "fetch", "listen", "load", "move", "prepare", "release",
	"reset", "savepoint", "set", "unlisten",
}

// writeKeywords make a SELECT write, lock rows or create a table. They are matched anywhere outside literals to detect
// data-modifying WITH queries at any depth.
var writeKeywords = []string{"delete", "insert", "into", "merge", "update"}

// lockStrengths are the keywords that follow FOR in a locking clause. FOR alone is not sufficient, because it also occurs
// in calls such as substring(x from 1 for 2).
var lockStrengths = []string{"key", "no", "share", "update"}

// sessionFunctions are functions that change the state of the connection. Names ending in * are prefixes.
var sessionFunctions = []string{"pg_advisory_*", "pg_try_advisory_*", "set_config", "setseed"}

// groupFunctions are the commands of the replication group.
var groupFunctions = []string{"group_adopt", "group_follow", "group_promote"}

// primaryFunctions are functions that write, act on the server, or return correct results only on the primary.
var primaryFunctions = []string{
	"currval", "cursor_to_xml*", "database_to_xml*", "dblink*", "group_status", "group_wait", "lastval", "lo_*",
	"loread", "lowrite", "nextval", "pg_backup_*", "pg_cancel_backend", "pg_create_*", "pg_current_wal_*",
	"pg_current_xact_id*", "pg_drop_replication_slot", "pg_export_snapshot", "pg_file_*", "pg_import_system_collations",
	"pg_is_in_recovery", "pg_log_*", "pg_logical_*", "pg_notify", "pg_promote", "pg_reload_conf", "pg_replication_*",
	"pg_rotate_logfile", "pg_start_backup", "pg_stat_reset*", "pg_stop_backup", "pg_switch_wal", "pg_terminate_backend",
	"pg_wal_replay_*", "query_to_xml*", "schema_to_xml*", "setval", "table_to_xml*", "txid_current*",
}

// Classify returns the class of sql.
func Classify(sql string) Classification {
	tokens := tokenize(sql)
	if i := slices.IndexFunc(tokens, func(t token) bool { return matchesName(t, groupFunctions) }); i >= 0 {
		return Classification{ClassGroupCommand, "calls " + tokens[i].text}
	}
	statements := splitStatements(tokens)
	for _, statement := range statements {
		if c := classifyRestricted(statement); c.Class != ClassPrimary {
			return c
		}
	}
	if len(statements) != 1 {
		return Classification{ClassPrimary, "not exactly one statement"}
	}
	return classifySelect(statements[0])
}

// splitStatements splits tokens at semicolons and omits empty statements.
func splitStatements(tokens []token) [][]token {
	var statements [][]token
	for len(tokens) > 0 {
		end := slices.IndexFunc(tokens, func(t token) bool { return t.kind == tokenSemicolon })
		if end < 0 {
			return append(statements, tokens)
		}
		if end > 0 {
			statements = append(statements, tokens[:end])
		}
		tokens = tokens[end+1:]
	}
	return statements
}

// classifyRestricted detects statements of ClassSessionState and ClassTransactionControl. It returns ClassPrimary for all
// others.
func classifyRestricted(statement []token) Classification {
	first, second := firstWord(statement), wordAt(statement, 1)
	if first == "rollback" && rollsBackToSavepoint(statement) {
		return Classification{ClassSessionState, "rolls back to a savepoint"}
	}
	if slices.Contains(transactionKeywords, first) || first == "prepare" && second == "transaction" {
		return Classification{ClassTransactionControl, "starts with " + first}
	}
	if slices.Contains(sessionStateKeywords, first) {
		return Classification{ClassSessionState, "starts with " + first}
	}
	if createsTemporary(statement) {
		return Classification{ClassSessionState, "creates a temporary object"}
	}
	for _, t := range statement {
		if matchesName(t, sessionFunctions) {
			return Classification{ClassSessionState, "calls " + t.text}
		}
	}
	return Classification{Class: ClassPrimary}
}

// rollsBackToSavepoint reports whether a ROLLBACK statement is ROLLBACK [WORK | TRANSACTION] TO, which does not end the
// transaction.
func rollsBackToSavepoint(statement []token) bool {
	word := wordAt(statement, 1)
	if word == "work" || word == "transaction" {
		word = wordAt(statement, 2)
	}
	return word == "to"
}

// createsTemporary reports whether the statement starts with CREATE [OR REPLACE] [LOCAL | GLOBAL] TEMP[ORARY] or contains
// INTO [LOCAL | GLOBAL] TEMP[ORARY], as in SELECT ... INTO TEMP.
func createsTemporary(statement []token) bool {
	create := firstWord(statement) == "create"
	for i := range statement {
		temporary := wordAt(statement, i) == "temp" || wordAt(statement, i) == "temporary"
		if temporary && (create && i <= 4 || endsWithInto(statement, i-1)) {
			return true
		}
	}
	return false
}

// endsWithInto reports whether the words up to and including index i end with INTO [LOCAL | GLOBAL].
func endsWithInto(statement []token, i int) bool {
	word := wordAt(statement, i)
	if word == "local" || word == "global" {
		word = wordAt(statement, i-1)
	}
	return word == "into"
}

// classifySelect returns ClassRead if the statement is a SELECT without any sign of a write, and ClassPrimary otherwise.
func classifySelect(statement []token) Classification {
	first := firstWord(statement)
	if first != "select" && first != "with" {
		return Classification{ClassPrimary, "not a select"}
	}
	for i, t := range statement {
		if t.kind == tokenAmbiguous {
			return Classification{ClassPrimary, "text is ambiguous"}
		}
		if matchesName(t, primaryFunctions) {
			return Classification{ClassPrimary, "calls " + t.text}
		}
		word := wordAt(statement, i)
		if slices.Contains(writeKeywords, word) {
			return Classification{ClassPrimary, "contains " + word}
		}
		if word == "for" && slices.Contains(lockStrengths, wordAt(statement, i+1)) {
			return Classification{ClassPrimary, "locks rows"}
		}
	}
	return Classification{ClassRead, "select"}
}

// firstWord returns the first unquoted word of a statement after opening parentheses, or "" if there is none.
func firstWord(statement []token) string {
	i := slices.IndexFunc(statement, func(t token) bool { return t.kind != tokenOpenParen })
	return wordAt(statement, i)
}

// wordAt returns the unquoted word at index i, or "" if there is none.
func wordAt(statement []token, i int) string {
	if i < 0 || i >= len(statement) || statement[i].kind != tokenWord || statement[i].quoted {
		return ""
	}
	return statement[i].text
}

// matchesName reports whether t is a word that matches one of names. It does not check for a following parenthesis, which
// may be separated by a comment or absent. A column with the same name also matches, which is rare and harmless.
func matchesName(t token, names []string) bool {
	if t.kind != tokenWord {
		return false
	}
	return slices.ContainsFunc(names, func(name string) bool {
		prefix, isPrefix := strings.CutSuffix(name, "*")
		if isPrefix {
			return strings.HasPrefix(t.text, prefix)
		}
		return t.text == name
	})
}
