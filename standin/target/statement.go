package target

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// SQLSTATE codes that members return.
const (
	codeSyntaxError               = "42601"
	codeUndefinedTable            = "42P01"
	codeNotSupported              = "0A000"
	codeProtocolViolation         = "08P01"
	codeInvalidTextRepresentation = "22P02"
	codeUniqueViolation           = "23505"
	codeReadOnly                  = "25006"
	codeActiveTransaction         = "25001"
	codeFailedTransaction         = "25P02"
	codeInvalidStatement          = "26000"
	codeInvalidPortal             = "34000"
	codeDeadlock                  = "40P01"
	codeTooManyConnections        = "53300"
	codeNotInPrerequisiteState    = "55000"
	codeQueryCanceled             = "57014"
)

// sqlError is an error with a SQLSTATE code.
type sqlError struct {
	code    string
	message string
}

func (e *sqlError) Error() string { return e.message + " (SQLSTATE " + e.code + ")" }

func sqlErrorf(code, format string, args ...any) error {
	return &sqlError{code: code, message: fmt.Sprintf(format, args...)}
}

// planKind is the kind of statement that a plan executes.
type planKind uint8

const (
	planEmpty planKind = iota
	planBegin
	planCommit
	planRollback
	planSet
	planShow
	planDiscard
	planSelect
	planInsert
	planUpdate
	planDelete
	planSleep
	planConstant
	planLedgerInsert
	planLedgerSelect
	planLedgerPrune
	planGroup
	planActivity
)

// operand is a parameter ($n) or a literal of a statement.
type operand struct {
	parameter int // 1 for $1, 0 for a literal
	literal   string
}

// resolve returns the literal or the argument for the parameter, nil for a null.
func (o operand) resolve(args []*string) (*string, error) {
	if o.parameter == 0 {
		return &o.literal, nil
	}
	if o.parameter > len(args) {
		return nil, sqlErrorf(codeProtocolViolation, "there is no parameter $%d", o.parameter)
	}
	return args[o.parameter-1], nil
}

// plan is a parsed statement.
type plan struct {
	sql       string
	kind      planKind
	columns   []string
	operands  []operand
	table     string
	name      string // name of the group function or setting
	writes    bool
	upsert    bool // INSERT: replace the value of an existing row
	append    bool // UPDATE: append to the value
	compare   bool // UPDATE: only if the row has the value of the third operand
	allRows   bool // SELECT: every row
	withKey   bool // SELECT: key and value
	forUpdate bool // SELECT: lock the row
	readOnly  bool // BEGIN
	returning bool // INSERT inside WITH: return the inserted row
}

// parameterCount returns the number of parameters that the statement takes.
func (p *plan) parameterCount() int {
	count := 0
	for _, o := range p.operands {
		count = max(count, o.parameter)
	}
	return count
}

const operandPattern = `(\$\d+|'(?:[^']|'')*'|-?\d+)(?:::\w+)?`

// compileForm compiles the pattern of a statement form. In a pattern, a space matches white space, "_ " matches optional
// white space and § matches an operand.
func compileForm(pattern string) *regexp.Regexp {
	pattern = strings.ReplaceAll(pattern, "_ ", `\s*`)
	pattern = strings.ReplaceAll(pattern, " ", `\s+`)
	pattern = strings.ReplaceAll(pattern, "§", operandPattern)
	return regexp.MustCompile(`(?is)^` + pattern + `$`)
}

var (
	formBegin        = compileForm(`(?:BEGIN|START TRANSACTION)(?: (?:WORK|TRANSACTION))?(?: ISOLATION LEVEL [a-z ]+?)?( READ ONLY)?(?: READ WRITE)?`)
	formCommit       = compileForm(`(?:COMMIT|END)(?: (?:WORK|TRANSACTION))?`)
	formRollback     = compileForm(`(?:ROLLBACK|ABORT)(?: (?:WORK|TRANSACTION))?`)
	formSet          = compileForm(`SET (?:SESSION |LOCAL )?([\w.]+)(?: TO |_ =_ )(.+)`)
	formShow         = compileForm(`SHOW ([\w.]+)`)
	formDiscard      = compileForm(`DISCARD ALL`)
	formSelect       = compileForm(`SELECT (value|key_ ,_ value|\*) FROM (\w+)(?: WHERE key_ =_ §)?( FOR UPDATE)?`)
	formInsert       = compileForm(`INSERT INTO (\w+)_ \(_ key_ ,_ value_ \)_ VALUES_ \(_ §_ ,_ §_ \)(?: (ON CONFLICT_ \(_ key_ \)_ DO UPDATE SET value_ =_ excluded\.value))?`)
	formWithInsert   = compileForm(`WITH \w+ AS_ \(_ (INSERT INTO .+?)(?: RETURNING [\w, *]+)?_ \)_ SELECT .+`)
	formUpdate       = compileForm(`UPDATE (\w+) SET value_ =_ § WHERE key_ =_ §`)
	formCompare      = compileForm(`UPDATE (\w+) SET value_ =_ § WHERE key_ =_ § AND value_ =_ §`)
	formAppend       = compileForm(`UPDATE (\w+) SET value_ =_ value_ \|\|_ § WHERE key_ =_ §`)
	formDelete       = compileForm(`DELETE FROM (\w+) WHERE key_ =_ §`)
	formSleep        = compileForm(`SELECT pg_sleep_ \(_ §_ \)`)
	formConstant     = compileForm(`SELECT §`)
	formLedgerInsert = compileForm(`INSERT INTO waxwingspindle_request_ \(_ workspace_ ,_ request_id_ ,_ statement_hash_ \)_ VALUES_ \(_ §_ ,_ §_ ,_ §_ \)`)
	formLedgerSelect = compileForm(`SELECT statement_hash FROM waxwingspindle_request WHERE workspace_ =_ §_ AND request_id_ =_ §`)
	formLedgerPrune  = compileForm(`DELETE FROM waxwingspindle_request WHERE_ \(_ workspace_ ,_ request_id_ \)_ IN_ \(_ SELECT workspace_ ,_ request_id FROM waxwingspindle_request WHERE created_at_ <_ now\(\)_ -_ make_interval_ \(_ secs_ =>_ §_ \)_ LIMIT §_ \)`)
	formActivity     = compileForm(`SELECT state FROM pg_stat_activity WHERE pid_ =_ §`)
	formGroup        = compileForm(`SELECT \* FROM group_(status|adopt|promote|follow|wait)_ \((.*)\)`)
	formOperand      = compileForm(operandPattern)
)

var groupColumns = []string{"adopted_term", "orderer", "role", "log_term", "log_offset", "primary_address"}

var groupParameters = map[string]int{"status": 0, "adopt": 2, "promote": 2, "follow": 2, "wait": 3}

// parse parses a single statement. Like the extended protocol, it rejects several statements in one string.
func parse(sql string) (*plan, error) {
	statements, err := splitStatements(sql)
	if err != nil {
		return nil, err
	}
	switch len(statements) {
	case 0:
		return &plan{sql: sql}, nil
	case 1:
		p, err := parseStatement(statements[0])
		if err != nil {
			return nil, err
		}
		p.sql = sql
		return p, nil
	}
	return nil, sqlErrorf(codeSyntaxError, "cannot insert multiple commands into a prepared statement")
}

// parseStatement matches text against all supported statement forms.
func parseStatement(text string) (*plan, error) {
	for _, parseKind := range []func(string) *plan{parseControl, parseLedger, parseRead, parseWrite} {
		if p := parseKind(text); p != nil {
			return p, nil
		}
	}
	return nil, sqlErrorf(codeSyntaxError, "the stand-in does not know the statement %q", text)
}

func parseControl(text string) *plan {
	if m := formBegin.FindStringSubmatch(text); m != nil {
		return &plan{kind: planBegin, readOnly: m[1] != ""}
	}
	if formCommit.MatchString(text) {
		return &plan{kind: planCommit}
	}
	if formRollback.MatchString(text) {
		return &plan{kind: planRollback}
	}
	if m := formSet.FindStringSubmatch(text); m != nil {
		return &plan{kind: planSet, name: strings.ToLower(m[1]), operands: []operand{parseOperand(m[2])}}
	}
	if m := formShow.FindStringSubmatch(text); m != nil {
		name := strings.ToLower(m[1])
		return &plan{kind: planShow, name: name, columns: []string{name}}
	}
	if formDiscard.MatchString(text) {
		return &plan{kind: planDiscard}
	}
	return parseGroupFunction(text)
}

func parseGroupFunction(text string) *plan {
	m := formGroup.FindStringSubmatch(text)
	if m == nil {
		return nil
	}
	p := &plan{kind: planGroup, name: strings.ToLower(m[1]), columns: groupColumns}
	if list := strings.TrimSpace(m[2]); list != "" {
		for _, part := range strings.Split(list, ",") {
			part = strings.TrimSpace(part)
			if !formOperand.MatchString(part) {
				return nil
			}
			p.operands = append(p.operands, parseOperand(part))
		}
	}
	if len(p.operands) != groupParameters[p.name] {
		return nil
	}
	return p
}

func parseLedger(text string) *plan {
	if m := formLedgerInsert.FindStringSubmatch(text); m != nil {
		return &plan{kind: planLedgerInsert, operands: parseOperands(m[1:4]), table: LedgerTable, writes: true}
	}
	if m := formLedgerSelect.FindStringSubmatch(text); m != nil {
		return &plan{kind: planLedgerSelect, operands: parseOperands(m[1:3]), columns: []string{"statement_hash"}}
	}
	if m := formLedgerPrune.FindStringSubmatch(text); m != nil {
		return &plan{kind: planLedgerPrune, operands: parseOperands(m[1:3]), writes: true}
	}
	return nil
}

func parseRead(text string) *plan {
	if m := formSleep.FindStringSubmatch(text); m != nil {
		return &plan{kind: planSleep, operands: parseOperands(m[1:2]), columns: []string{"pg_sleep"}}
	}
	if m := formActivity.FindStringSubmatch(text); m != nil {
		return &plan{kind: planActivity, operands: parseOperands(m[1:2]), columns: []string{"state"}}
	}
	if m := formConstant.FindStringSubmatch(text); m != nil {
		return &plan{kind: planConstant, operands: parseOperands(m[1:2]), columns: []string{"?column?"}}
	}
	m := formSelect.FindStringSubmatch(text)
	if m == nil {
		return nil
	}
	p := &plan{kind: planSelect, table: strings.ToLower(m[2]), columns: []string{"value"}, allRows: m[3] == ""}
	if !strings.EqualFold(m[1], "value") {
		p.withKey = true
		p.columns = []string{"key", "value"}
	}
	if !p.allRows {
		p.operands = parseOperands(m[3:4])
	}
	p.forUpdate = m[4] != ""
	p.writes = p.forUpdate
	return p
}

func parseWrite(text string) *plan {
	if m := formWithInsert.FindStringSubmatch(text); m != nil {
		p := parseInsert(m[1])
		if p != nil {
			p.returning = true
			p.columns = []string{"key", "value"}
		}
		return p
	}
	if p := parseInsert(text); p != nil {
		return p
	}
	if m := formAppend.FindStringSubmatch(text); m != nil {
		return &plan{kind: planUpdate, append: true, writes: true, table: strings.ToLower(m[1]),
			operands: parseOperands([]string{m[3], m[2]})}
	}
	if m := formCompare.FindStringSubmatch(text); m != nil {
		return &plan{kind: planUpdate, compare: true, writes: true, table: strings.ToLower(m[1]),
			operands: parseOperands([]string{m[3], m[2], m[4]})}
	}
	if m := formUpdate.FindStringSubmatch(text); m != nil {
		return &plan{kind: planUpdate, writes: true, table: strings.ToLower(m[1]), operands: parseOperands([]string{m[3], m[2]})}
	}
	if m := formDelete.FindStringSubmatch(text); m != nil {
		return &plan{kind: planDelete, writes: true, table: strings.ToLower(m[1]), operands: parseOperands(m[2:3])}
	}
	return nil
}

func parseInsert(text string) *plan {
	m := formInsert.FindStringSubmatch(text)
	if m == nil {
		return nil
	}
	return &plan{kind: planInsert, writes: true, table: strings.ToLower(m[1]), operands: parseOperands(m[2:4]),
		upsert: m[4] != ""}
}

func parseOperands(texts []string) []operand {
	operands := make([]operand, len(texts))
	for i, text := range texts {
		operands[i] = parseOperand(text)
	}
	return operands
}

func parseOperand(text string) operand {
	if m := formOperand.FindStringSubmatch(text); m != nil {
		text = m[1]
	}
	if number, found := strings.CutPrefix(text, "$"); found {
		if n, err := strconv.Atoi(number); err == nil && n > 0 {
			return operand{parameter: n}
		}
	}
	if len(text) >= 2 && text[0] == '\'' {
		text = strings.ReplaceAll(text[1:len(text)-1], "''", "'")
	}
	return operand{literal: text}
}

// splitStatements splits a string at semicolons into statements and removes comments. Quoted text is left unchanged.
func splitStatements(sql string) ([]string, error) {
	var statements []string
	var current strings.Builder
	finish := func() {
		if text := strings.TrimSpace(current.String()); text != "" {
			statements = append(statements, text)
		}
		current.Reset()
	}
	for i := 0; i < len(sql); {
		rest := sql[i:]
		length := tokenLength(rest)
		if length < 0 {
			return nil, sqlErrorf(codeSyntaxError, "a quoted text or a comment has no end")
		}
		switch {
		case strings.HasPrefix(rest, "--"), strings.HasPrefix(rest, "/*"):
			current.WriteByte(' ')
		case rest[0] == ';':
			finish()
		default:
			current.WriteString(rest[:length])
		}
		i += length
	}
	finish()
	return statements, nil
}

// tokenLength returns the length of the comment, quoted text or single byte at the start of text, or -1 if a comment or
// quoted text is not terminated.
func tokenLength(text string) int {
	switch {
	case strings.HasPrefix(text, "--"):
		if end := strings.IndexByte(text, '\n'); end >= 0 {
			return end + 1
		}
		return len(text)
	case strings.HasPrefix(text, "/*"):
		return blockCommentLength(text)
	case text[0] == '\'' || text[0] == '"':
		end := strings.IndexByte(text[1:], text[0])
		if end < 0 {
			return -1
		}
		return end + 2
	}
	return 1
}

// blockCommentLength returns the length of a block comment, which may be nested, or -1 if it is not terminated.
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
			if depth == 0 {
				return i + 1
			}
		}
	}
	return -1
}
