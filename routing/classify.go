// Package routing decides where a statement runs. It classifies statements without an SQL parser and chooses the
// target of a read from the session's mark, the stated age and the state of the group.
//
// The package is pure: time and state are arguments, decisions are values.
package routing

import (
	"slices"
	"strings"
)

// Class tells where a statement may run.
type Class uint8

const (
	// ClassPrimary needs the primary. Every statement that the package is not sure about is in this class.
	ClassPrimary Class = iota
	// ClassRead may run on a replica in a read-only transaction.
	ClassRead
	// ClassSessionState changes the state of its connection or needs a transaction, as SAVEPOINT does. It is refused
	// outside a transaction, because connections are shared, and runs inside one.
	ClassSessionState
	// ClassTransactionControl begins or ends a transaction and is refused everywhere. The transaction routes do this.
	ClassTransactionControl
	// ClassGroupCommand calls a command of the database group, such as group_promote, and is refused everywhere.
	// Only the home of a service orders changes of its group.
	ClassGroupCommand
)

// String returns the name of the class as it appears in logs.
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

// RunsOnReplica reports whether the statement may run on a replica, where declared tells whether the caller declared it
// read-only. A declaration overrides ClassPrimary only: the replica refuses the statement when the caller was wrong.
func (c Classification) MayRunOnReplica(declared bool) bool {
	return c.Class == ClassRead || c.Class == ClassPrimary && declared
}

var transactionControl = []string{
	"abort", "begin", "commit", "end", "rollback", "start",
}

var sessionState = []string{
	"close", "deallocate", "declare", "discard", "execute", "fetch", "listen", "load", "move", "prepare", "release",
	"reset", "savepoint", "set", "unlisten",
}

// writeWords are the words that make a SELECT write, lock or create something. They are matched anywhere outside
// literals, so that a WITH query that changes data is found at any depth.
var writeWords = []string{"delete", "insert", "into", "merge", "update"}

// lockStrengths follow FOR in a locking clause. FOR also occurs in calls such as substring(x from 1 for 2).
var lockStrengths = []string{"key", "no", "share", "update"}

// sessionFunctions change the state of the connection. Names that end in * are prefixes.
var sessionFunctions = []string{"pg_advisory_*", "pg_try_advisory_*", "set_config", "setseed"}

// groupFunctions are the commands of the database group.
var groupFunctions = []string{"group_adopt", "group_follow", "group_promote"}

// primaryFunctions are known to write, to act on the server, or to answer correctly on the primary only.
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
	tokens := scan(sql)
	if i := slices.IndexFunc(tokens, func(t token) bool { return isFunction(t, groupFunctions) }); i >= 0 {
		return Classification{ClassGroupCommand, "calls " + tokens[i].text}
	}
	statements := split(tokens)
	for _, statement := range statements {
		if c := classifyRefused(statement); c.Class != ClassPrimary {
			return c
		}
	}
	if len(statements) != 1 {
		return Classification{ClassPrimary, "not exactly one statement"}
	}
	return classifySelect(statements[0])
}

// split returns the statements of tokens without empty ones.
func split(tokens []token) [][]token {
	var statements [][]token
	for len(tokens) > 0 {
		end := slices.IndexFunc(tokens, func(t token) bool { return t.kind == tokenEnd })
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

// classifyRefused finds statements that never run alone. It returns ClassPrimary for all others.
func classifyRefused(statement []token) Classification {
	first, second := firstWord(statement), wordAt(statement, 1)
	if first == "rollback" && rollsBackToSavepoint(statement) {
		return Classification{ClassSessionState, "rolls back to a savepoint"}
	}
	if slices.Contains(transactionControl, first) || first == "prepare" && second == "transaction" {
		return Classification{ClassTransactionControl, "starts with " + first}
	}
	if slices.Contains(sessionState, first) {
		return Classification{ClassSessionState, "starts with " + first}
	}
	if createsTemporary(statement) {
		return Classification{ClassSessionState, "creates a temporary object"}
	}
	for _, t := range statement {
		if isFunction(t, sessionFunctions) {
			return Classification{ClassSessionState, "calls " + t.text}
		}
	}
	return Classification{Class: ClassPrimary}
}

// rollsBackToSavepoint finds ROLLBACK [WORK | TRANSACTION] TO, which does not end the transaction.
func rollsBackToSavepoint(statement []token) bool {
	word := wordAt(statement, 1)
	if word == "work" || word == "transaction" {
		word = wordAt(statement, 2)
	}
	return word == "to"
}

// createsTemporary finds CREATE [OR REPLACE] [LOCAL | GLOBAL] TEMP[ORARY] and SELECT ... INTO TEMP[ORARY].
func createsTemporary(statement []token) bool {
	create := firstWord(statement) == "create"
	for i := range statement {
		temporary := wordAt(statement, i) == "temp" || wordAt(statement, i) == "temporary"
		if temporary && (create && i <= 4 || introducesTable(statement, i-1)) {
			return true
		}
	}
	return false
}

func introducesTable(statement []token, i int) bool {
	word := wordAt(statement, i)
	if word == "local" || word == "global" {
		word = wordAt(statement, i-1)
	}
	return word == "into"
}

// classifySelect returns ClassRead when the statement is a SELECT that does not write as far as its text tells.
func classifySelect(statement []token) Classification {
	first := firstWord(statement)
	if first != "select" && first != "with" {
		return Classification{ClassPrimary, "not a select"}
	}
	for i, t := range statement {
		if t.kind == tokenUnsure {
			return Classification{ClassPrimary, "text is ambiguous"}
		}
		if isFunction(t, primaryFunctions) {
			return Classification{ClassPrimary, "calls " + t.text}
		}
		word := wordAt(statement, i)
		if slices.Contains(writeWords, word) {
			return Classification{ClassPrimary, "contains " + word}
		}
		if word == "for" && slices.Contains(lockStrengths, wordAt(statement, i+1)) {
			return Classification{ClassPrimary, "locks rows"}
		}
	}
	return Classification{ClassRead, "select"}
}

// firstWord returns the first key word of a statement after opening parentheses, or "" if there is none.
func firstWord(statement []token) string {
	i := slices.IndexFunc(statement, func(t token) bool { return t.kind != tokenOpen })
	return wordAt(statement, i)
}

// wordAt returns the unquoted word at index i, or "" if there is none.
func wordAt(statement []token, i int) string {
	if i < 0 || i >= len(statement) || statement[i].kind != tokenWord || statement[i].quoted {
		return ""
	}
	return statement[i].text
}

// isFunction reports whether t is one of names. The parenthesis of a call is not looked for, because a name may be
// followed by a comment or, in other places, by nothing at all; a column of the same name is a rare and harmless match.
func isFunction(t token, names []string) bool {
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
