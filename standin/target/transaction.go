package target

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// transaction holds the uncommitted changes of a connection. Only the connection's goroutine accesses its fields, except
// for locks and waitsFor, which are guarded by the member's mutex.
type transaction struct {
	id        uint64
	explicit  bool // started by BEGIN
	readOnly  bool
	failed    bool
	term      uint64 // term of the first write, 0 before that
	changes   map[rowKey]change
	order     []rowKey // keys of changes in the order of their first change
	workspace string   // workspace of the ledger insert
	requestID string   // request ID of the ledger insert

	locks    []rowKey
	waitsFor *transaction
}

func (m *Member) newTransaction(explicit, readOnly bool) *transaction {
	return &transaction{
		id:       m.lastTransactionID.Add(1),
		explicit: explicit,
		readOnly: readOnly,
		changes:  map[rowKey]change{},
	}
}

// checkWritable returns an error unless the transaction may write on this member now. The first call that succeeds binds
// the transaction to the term of the primary; writes and the commit fail in any other term.
func (m *Member) checkWritable(tx *transaction) error {
	term := m.durable.primaryTerm
	if term == 0 {
		return sqlErrorf(codeReadOnly, "cannot write: the member is not the primary of term %d", m.durable.adoptedTerm)
	}
	if tx.readOnly {
		return sqlErrorf(codeReadOnly, "cannot write in a read-only transaction")
	}
	if tx.term == 0 {
		tx.term = term
	}
	if tx.term != term {
		return sqlErrorf(codeReadOnly, "cannot write: the transaction began in term %d", tx.term)
	}
	return nil
}

// lockRow acquires the lock of a row. It fails when the transaction may not write or would deadlock.
func (m *Member) lockRow(ctx context.Context, tx *transaction, key rowKey) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for {
		if err := m.checkWritable(tx); err != nil {
			return err
		}
		holder := m.locks[key]
		if holder == nil {
			m.locks[key] = tx
			tx.locks = append(tx.locks, key)
			return nil
		}
		if holder == tx {
			return nil
		}
		if holder.waitsOn(tx) {
			return sqlErrorf(codeDeadlock, "deadlock detected on row %q of %s", key.key, key.table)
		}
		tx.waitsFor = holder
		changed := m.changed
		m.mu.Unlock()
		err := awaitChange(ctx, changed)
		m.mu.Lock()
		tx.waitsFor = nil
		if err != nil {
			return err
		}
	}
}

// waitsOn reports whether the transaction waits, directly or through other transactions, for a lock of other.
func (tx *transaction) waitsOn(other *transaction) bool {
	for t := tx; t != nil; t = t.waitsFor {
		if t == other {
			return true
		}
	}
	return false
}

func awaitChange(ctx context.Context, c <-chan struct{}) error {
	select {
	case <-c:
		return nil
	case <-ctx.Done():
		return errCanceled
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errCanceled
	}
}

var errCanceled = sqlErrorf(codeQueryCanceled, "canceling statement due to user request")

// commit appends the transaction's changes to the log. The returned position is zero if there are no changes.
func (m *Member) commit(r *run, tx *transaction) (model.Position, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.releaseLocks(tx)
	if err := r.ctx.Err(); err != nil {
		return model.Position{}, err
	}
	if len(tx.order) == 0 {
		return model.Position{}, nil
	}
	if err := m.checkWritable(tx); err != nil {
		return model.Position{}, err
	}
	e := entry{Term: tx.term, Offset: m.durable.position().Offset + 1, Written: time.Now()}
	for _, key := range tx.order {
		e.Changes = append(e.Changes, tx.changes[key])
	}
	m.append(e)
	return model.Position{Term: e.Term, Offset: e.Offset}, nil
}

func (m *Member) rollback(tx *transaction) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.releaseLocks(tx)
}

func (m *Member) releaseLocks(tx *transaction) {
	for _, key := range tx.locks {
		if m.locks[key] == tx {
			delete(m.locks, key)
		}
	}
	tx.locks = nil
	m.notifyWaiters()
}

// read returns a row as it is visible to the transaction: its own change if there is one, else the committed row.
func (m *Member) read(tx *transaction, key rowKey) (row, bool) {
	if c, found := tx.changes[key]; found {
		return c.Row, !c.Deleted
	}
	r, found := m.tables[key.table][key.key]
	return r, found
}

// write adds a change to the transaction.
func (tx *transaction) write(c change) {
	key := rowKey{c.Table, c.Key}
	if _, found := tx.changes[key]; !found {
		tx.order = append(tx.order, key)
	}
	tx.changes[key] = c
}

// result holds the rows and the command tag of a statement.
type result struct {
	rows [][]*string
	tag  string
}

// executeData runs a statement that reads or writes rows: it acquires the row lock, if it writes, and
// a slot before the execution.
func (m *Member) executeData(ctx context.Context, r *run, tx *transaction, p *plan, args []*string) (result, error) {
	values := make([]*string, len(p.operands))
	for i, o := range p.operands {
		value, err := o.resolve(args)
		if err != nil {
			return result{}, err
		}
		values[i] = value
	}
	if err := m.checkTable(p); err != nil {
		return result{}, err
	}
	if key, found := p.rowKey(values); found && p.writes {
		if err := m.lockRow(ctx, tx, key); err != nil {
			return result{}, err
		}
	}
	if err := m.occupySlot(ctx, r, p, values); err != nil {
		return result{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.writes {
		if err := m.checkWritable(tx); err != nil {
			return result{}, err
		}
	}
	return m.executeRowPlan(tx, p, values)
}

func (m *Member) checkTable(p *plan) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.table != "" && m.tables[p.table] == nil {
		return sqlErrorf(codeUndefinedTable, "relation %q does not exist", p.table)
	}
	return nil
}

// rowKey returns the key of the row that the statement refers to, or false if it does not refer to a single row.
func (p *plan) rowKey(values []*string) (rowKey, bool) {
	switch p.kind {
	case planLedgerInsert, planLedgerSelect:
		return ledgerKey(stringOrEmpty(values[0]), stringOrEmpty(values[1])), true
	case planSelect, planInsert, planUpdate, planDelete:
		if len(values) > 0 {
			return rowKey{p.table, stringOrEmpty(values[0])}, true
		}
	}
	return rowKey{}, false
}

func ledgerKey(workspace, requestID string) rowKey {
	return rowKey{LedgerTable, workspace + "\x00" + requestID}
}

// stringOrEmpty returns the text of a value, or an empty string for a null.
func stringOrEmpty(value *string) string {
	if value == nil {
		return ""
	}
	return *value
}

// occupySlot waits for a slot and holds it for the duration of the statement. Ledger statements need no slot.
func (m *Member) occupySlot(ctx context.Context, r *run, p *plan, values []*string) error {
	switch p.kind {
	case planLedgerInsert, planLedgerSelect, planLedgerPrune:
		return nil
	}
	select {
	case r.slots <- struct{}{}:
	case <-ctx.Done():
		return errCanceled
	}
	defer func() { <-r.slots }()
	duration := m.faults.currentStatementTime()
	if p.kind == planSleep {
		seconds, err := strconv.ParseFloat(stringOrEmpty(values[0]), 64)
		if err != nil {
			return sqlErrorf(codeInvalidTextRepresentation, "invalid number of seconds: %q", stringOrEmpty(values[0]))
		}
		duration += time.Duration(seconds * float64(time.Second))
	}
	if err := sleep(ctx, duration); err != nil {
		return err
	}
	if m.faults.awaitUnfrozen(ctx) != nil {
		return errCanceled
	}
	return nil
}

func (m *Member) executeRowPlan(tx *transaction, p *plan, values []*string) (result, error) {
	switch p.kind {
	case planSelect:
		return m.executeSelect(tx, p, values), nil
	case planInsert:
		return m.executeInsert(tx, p, values)
	case planUpdate:
		return m.executeUpdate(tx, p, values), nil
	case planDelete:
		return m.executeDelete(tx, p, values), nil
	case planSleep:
		return result{rows: [][]*string{{new(string)}}, tag: "SELECT 1"}, nil
	case planConstant:
		return result{rows: [][]*string{{values[0]}}, tag: "SELECT 1"}, nil
	case planLedgerInsert:
		return m.executeLedgerInsert(tx, values)
	case planLedgerSelect:
		return m.executeLedgerSelect(tx, values), nil
	case planLedgerPrune:
		return m.executeLedgerPrune(tx, values)
	}
	return result{}, sqlErrorf(codeNotSupported, "the stand-in cannot execute this statement")
}

func (m *Member) executeSelect(tx *transaction, p *plan, values []*string) result {
	var keys []string
	if p.allRows {
		keys = m.sortedKeys(tx, p.table)
	} else if values[0] != nil {
		keys = []string{*values[0]}
	}
	var rows [][]*string
	for _, key := range keys {
		r, found := m.read(tx, rowKey{p.table, key})
		if !found {
			continue
		}
		if p.withKey {
			rows = append(rows, []*string{&key, &r.Value})
			continue
		}
		rows = append(rows, []*string{&r.Value})
	}
	return result{rows: rows, tag: "SELECT " + strconv.Itoa(len(rows))}
}

func (m *Member) sortedKeys(tx *transaction, table string) []string {
	keys := map[string]bool{}
	for key := range m.tables[table] {
		keys[key] = true
	}
	for key := range tx.changes {
		if key.table == table {
			keys[key.key] = true
		}
	}
	return slices.Sorted(maps.Keys(keys))
}

func (m *Member) executeInsert(tx *transaction, p *plan, values []*string) (result, error) {
	key := rowKey{p.table, stringOrEmpty(values[0])}
	if _, found := m.read(tx, key); found && !p.upsert {
		return result{}, sqlErrorf(codeUniqueViolation,
			"duplicate key value violates unique constraint: %q exists in %s", key.key, key.table)
	}
	value := stringOrEmpty(values[1])
	tx.write(change{Table: key.table, Key: key.key, Row: row{Value: value}})
	if p.returning {
		return result{rows: [][]*string{{&key.key, &value}}, tag: "SELECT 1"}, nil
	}
	return result{tag: "INSERT 0 1"}, nil
}

func (m *Member) executeUpdate(tx *transaction, p *plan, values []*string) result {
	key := rowKey{p.table, stringOrEmpty(values[0])}
	r, found := m.read(tx, key)
	if !found || p.compare && r.Value != stringOrEmpty(values[2]) {
		return result{tag: "UPDATE 0"}
	}
	if p.append {
		r.Value += stringOrEmpty(values[1])
	} else {
		r.Value = stringOrEmpty(values[1])
	}
	tx.write(change{Table: key.table, Key: key.key, Row: r})
	return result{tag: "UPDATE 1"}
}

func (m *Member) executeDelete(tx *transaction, p *plan, values []*string) result {
	key := rowKey{p.table, stringOrEmpty(values[0])}
	if _, found := m.read(tx, key); !found {
		return result{tag: "DELETE 0"}
	}
	tx.write(change{Table: key.table, Key: key.key, Deleted: true})
	return result{tag: "DELETE 1"}
}

func (m *Member) executeLedgerInsert(tx *transaction, values []*string) (result, error) {
	key := ledgerKey(stringOrEmpty(values[0]), stringOrEmpty(values[1]))
	if _, found := m.read(tx, key); found {
		return result{}, sqlErrorf(codeUniqueViolation, "duplicate key value violates unique constraint %q", LedgerTable+"_pkey")
	}
	tx.workspace, tx.requestID = stringOrEmpty(values[0]), stringOrEmpty(values[1])
	tx.write(change{Table: key.table, Key: key.key, Row: row{Value: stringOrEmpty(values[2]), Created: time.Now()}})
	return result{tag: "INSERT 0 1"}, nil
}

func (m *Member) executeLedgerSelect(tx *transaction, values []*string) result {
	r, found := m.read(tx, ledgerKey(stringOrEmpty(values[0]), stringOrEmpty(values[1])))
	if !found {
		return result{tag: "SELECT 0"}
	}
	return result{rows: [][]*string{{&r.Value}}, tag: "SELECT 1"}
}

// executeLedgerPrune deletes rows older than the given age, up to a limit. It skips locked rows.
func (m *Member) executeLedgerPrune(tx *transaction, values []*string) (result, error) {
	seconds, err := strconv.ParseFloat(stringOrEmpty(values[0]), 64)
	if err != nil {
		return result{}, sqlErrorf(codeInvalidTextRepresentation, "invalid age %q", stringOrEmpty(values[0]))
	}
	limit, err := strconv.Atoi(stringOrEmpty(values[1]))
	if err != nil {
		return result{}, sqlErrorf(codeInvalidTextRepresentation, "invalid limit %q", stringOrEmpty(values[1]))
	}
	cutoff := time.Now().Add(-time.Duration(seconds * float64(time.Second)))
	deleted := 0
	for key, r := range m.tables[LedgerTable] {
		if deleted >= limit {
			break
		}
		if r.Created.Before(cutoff) && m.locks[rowKey{LedgerTable, key}] == nil {
			tx.write(change{Table: LedgerTable, Key: key, Deleted: true})
			deleted++
		}
	}
	return result{tag: "DELETE " + strconv.Itoa(deleted)}, nil
}
