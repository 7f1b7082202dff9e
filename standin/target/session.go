package target

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	textOID           = 25 // type of all columns and parameters; text and binary format are the same for it
	cancelKeyBytes    = 4
	replicationOption = "standin_replication" // startup parameter of a replication connection: name of the follower
	memberParameter   = "standin_member"      // parameter status that reports the name of the member
)

var errTerminated = errors.New("connection terminated by the client")

// portal is a prepared statement with bound arguments.
type portal struct {
	plan *plan
	args []*string
}

// session is the server side of a connection. Only the connection's goroutine accesses its fields, except where noted.
type session struct {
	member  *Member
	run     *run
	id      uint32
	secret  []byte
	conn    *faultConn
	backend *pgproto3.Backend
	counted bool // counts towards the connection limit; guarded by the member's mutex

	statements    map[string]*plan
	portals       map[string]portal
	settings      map[string]string
	tx            *transaction // nil outside a transaction
	skipUntilSync bool         // after an error, skip messages until Sync

	active atomic.Bool // a message has been handled since the last ReadyForQuery; read by other goroutines

	cancelMu sync.Mutex
	cancel   context.CancelFunc // cancels the running statement, nil if there is none
}

func (m *Member) newSession(r *run, conn net.Conn) *session {
	id := m.lastConnectionID.Add(1)
	s := &session{member: m, run: r, id: id}
	s.secret = make([]byte, cancelKeyBytes)
	rand.Read(s.secret)
	s.conn = newFaultConn(r.ctx, conn, m.faults, func(data []byte) { m.history.addReceived(id, data) })
	s.backend = pgproto3.NewBackend(s.conn, s.conn)
	s.resetState()
	return s
}

// resetState discards prepared statements, portals and settings.
func (s *session) resetState() {
	s.statements = map[string]*plan{}
	s.portals = map[string]portal{}
	s.settings = map[string]string{}
}

// serve runs the session until the connection ends.
func (s *session) serve() {
	proceed, err := s.startUp()
	if err != nil || !proceed {
		return
	}
	defer s.rollBack()
	for {
		msg, err := s.backend.Receive()
		if err != nil {
			return
		}
		if err := s.handle(msg); err != nil {
			return
		}
	}
}

// startUp handles the startup phase of the protocol. It returns false if no client session follows.
func (s *session) startUp() (bool, error) {
	for {
		msg, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return false, err
		}
		switch msg := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return false, err
			}
		case *pgproto3.CancelRequest:
			s.member.cancelStatement(s.run, msg.ProcessID, msg.SecretKey)
			return false, nil
		case *pgproto3.StartupMessage:
			if follower := msg.Parameters[replicationOption]; follower != "" {
				s.conn.peer.Store(follower)
				return false, s.serveReplication()
			}
			return s.admitClient(msg.Parameters["user"] == ControlUser)
		default:
			return false, io.ErrUnexpectedEOF
		}
	}
}

// admitClient accepts a client connection or refuses it at the connection limit, after the configured connect time.
func (s *session) admitClient(control bool) (bool, error) {
	if sleep(s.run.ctx, s.member.options.ConnectTime) != nil {
		return false, s.run.ctx.Err()
	}
	if !s.member.admit(s, control) {
		s.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: codeTooManyConnections, Message: "too many connections"})
		return false, s.backend.Flush()
	}
	s.sendStartupResponse()
	return true, s.backend.Flush()
}

// sendStartupResponse queues the messages that complete the startup phase.
func (s *session) sendStartupResponse() {
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for name, value := range map[string]string{
		"server_version":              "16.0",
		"client_encoding":             "UTF8",
		"standard_conforming_strings": "on",
		memberParameter:               s.member.id,
	} {
		s.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: value})
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.id, SecretKey: s.secret})
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
}

// admit reports whether the connection limit allows another connection and, if so, counts it.
func (m *Member) admit(s *session, control bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := m.options.MaxConnections
	if control {
		limit += m.options.ReservedConnections
	}
	if s.run.countedConns >= limit {
		return false
	}
	s.run.countedConns++
	s.counted = true
	return true
}

// cancelStatement cancels the running statement of the session with the given ID and secret key.
func (m *Member) cancelStatement(r *run, id uint32, secret []byte) {
	m.mu.Lock()
	var found *session
	for _, s := range r.conns {
		if s.id == id && string(s.secret) == string(secret) {
			found = s
		}
	}
	m.mu.Unlock()
	if found == nil {
		return
	}
	found.cancelMu.Lock()
	defer found.cancelMu.Unlock()
	if found.cancel != nil {
		found.cancel()
	}
}

func (s *session) handle(msg pgproto3.FrontendMessage) error {
	s.active.Store(true)
	switch msg.(type) {
	case *pgproto3.Terminate:
		return errTerminated
	case *pgproto3.Sync:
		return s.sync()
	case *pgproto3.Flush:
		return s.backend.Flush()
	}
	if s.skipUntilSync {
		return nil
	}
	var err error
	switch msg := msg.(type) {
	case *pgproto3.Query:
		return s.simpleQuery(msg.String)
	case *pgproto3.Parse:
		err = s.parse(msg)
	case *pgproto3.Bind:
		err = s.bind(msg)
	case *pgproto3.Describe:
		err = s.describe(msg)
	case *pgproto3.Execute:
		err = s.executePortal(msg.Portal)
	case *pgproto3.Close:
		s.close(msg)
	default:
		err = sqlErrorf(codeProtocolViolation, "the stand-in does not know the message %T", msg)
	}
	if err != nil {
		s.skipUntilSync = true
		return s.fail(err)
	}
	return nil
}

// fail sends an SQL error and marks the transaction as failed. Any other error is returned and ends the connection.
func (s *session) fail(err error) error {
	var sqlErr *sqlError
	if !errors.As(err, &sqlErr) {
		return err
	}
	if s.tx != nil {
		s.tx.failed = true
	}
	s.backend.Send(&pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: sqlErr.code, Message: sqlErr.message,
	})
	return nil
}

func (s *session) parse(msg *pgproto3.Parse) error {
	p, err := parse(msg.Query)
	if err != nil {
		s.record(msg.Query, nil, err)
		return err
	}
	s.statements[msg.Name] = p
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) bind(msg *pgproto3.Bind) error {
	p := s.statements[msg.PreparedStatement]
	if p == nil {
		return sqlErrorf(codeInvalidStatement, "prepared statement %q does not exist", msg.PreparedStatement)
	}
	if len(msg.Parameters) != p.parameterCount() {
		return sqlErrorf(codeProtocolViolation, "bind message supplies %d parameters, but the statement requires %d",
			len(msg.Parameters), p.parameterCount())
	}
	args := make([]*string, len(msg.Parameters))
	for i, parameter := range msg.Parameters {
		if parameter != nil {
			value := string(parameter)
			args[i] = &value
		}
	}
	s.portals[msg.DestinationPortal] = portal{plan: p, args: args}
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(msg *pgproto3.Describe) error {
	if msg.ObjectType == 'P' {
		bound, found := s.portals[msg.Name]
		if !found {
			return sqlErrorf(codeInvalidPortal, "portal %q does not exist", msg.Name)
		}
		s.sendColumns(bound.plan)
		return nil
	}
	p := s.statements[msg.Name]
	if p == nil {
		return sqlErrorf(codeInvalidStatement, "prepared statement %q does not exist", msg.Name)
	}
	oids := make([]uint32, p.parameterCount())
	for i := range oids {
		oids[i] = textOID
	}
	s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
	s.sendColumns(p)
	return nil
}

func (s *session) sendColumns(p *plan) {
	if len(p.columns) == 0 {
		s.backend.Send(&pgproto3.NoData{})
		return
	}
	s.backend.Send(rowDescription(p))
}

func rowDescription(p *plan) *pgproto3.RowDescription {
	fields := make([]pgproto3.FieldDescription, len(p.columns))
	for i, name := range p.columns {
		fields[i] = pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1}
	}
	return &pgproto3.RowDescription{Fields: fields}
}

func (s *session) close(msg *pgproto3.Close) {
	if msg.ObjectType == 'P' {
		delete(s.portals, msg.Name)
	} else {
		delete(s.statements, msg.Name)
	}
	s.backend.Send(&pgproto3.CloseComplete{})
}

func (s *session) executePortal(name string) error {
	bound, found := s.portals[name]
	if !found {
		return sqlErrorf(codeInvalidPortal, "portal %q does not exist", name)
	}
	res, err := s.execute(bound.plan, bound.args)
	if err != nil {
		return err
	}
	s.sendResult(bound.plan, res)
	return nil
}

func (s *session) sendResult(p *plan, res result) {
	if p.kind == planEmpty {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for _, columns := range res.rows {
		values := make([][]byte, len(columns))
		for i, value := range columns {
			if value != nil {
				values[i] = []byte(*value)
			}
		}
		s.backend.Send(&pgproto3.DataRow{Values: values})
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.tag)})
}

// sync ends the implicit transaction and sends ReadyForQuery.
func (s *session) sync() error {
	s.skipUntilSync = false
	if s.tx != nil && !s.tx.explicit {
		if err := s.endImplicit(); err != nil {
			if err := s.fail(err); err != nil {
				return err
			}
		}
	}
	return s.ready()
}

func (s *session) endImplicit() error {
	if s.tx.failed {
		s.rollBack()
		return nil
	}
	return s.commit()
}

func (s *session) ready() error {
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.txStatus()})
	defer s.active.Store(false)
	return s.backend.Flush()
}

func (s *session) txStatus() byte {
	switch {
	case s.tx == nil:
		return 'I'
	case s.tx.failed:
		return 'E'
	}
	return 'T'
}

// simpleQuery executes the statements of a simple query in one implicit transaction.
func (s *session) simpleQuery(sql string) error {
	statements, err := splitStatements(sql)
	if err == nil && len(statements) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i := 0; i < len(statements) && err == nil; i++ {
		err = s.simpleStatement(statements[i])
	}
	if err != nil {
		if err := s.fail(err); err != nil {
			return err
		}
	}
	return s.sync()
}

func (s *session) simpleStatement(sql string) error {
	p, err := parse(sql)
	if err != nil {
		s.record(sql, nil, err)
		return err
	}
	if p.parameterCount() > 0 {
		return sqlErrorf(codeProtocolViolation, "there is no parameter $1")
	}
	res, err := s.execute(p, nil)
	if err != nil {
		return err
	}
	if len(p.columns) > 0 {
		s.backend.Send(rowDescription(p))
	}
	s.sendResult(p, res)
	return nil
}

// execute runs a statement with cancellation and records it.
func (s *session) execute(p *plan, args []*string) (result, error) {
	if s.tx != nil && s.tx.failed && p.kind != planCommit && p.kind != planRollback {
		return result{}, sqlErrorf(codeFailedTransaction,
			"current transaction is aborted, commands ignored until end of transaction block")
	}
	ctx, cancel := context.WithCancel(s.run.ctx)
	defer cancel()
	s.setCancel(cancel)
	defer s.setCancel(nil)
	res, err := s.executePlan(ctx, p, args)
	if s.run.ctx.Err() != nil {
		return result{}, s.run.ctx.Err()
	}
	if p.kind != planGroup && p.kind != planActivity && p.kind != planEmpty {
		s.record(p.sql, args, err)
	}
	return res, err
}

func (s *session) setCancel(cancel context.CancelFunc) {
	s.cancelMu.Lock()
	defer s.cancelMu.Unlock()
	s.cancel = cancel
}

func (s *session) executePlan(ctx context.Context, p *plan, args []*string) (result, error) {
	switch p.kind {
	case planEmpty:
		return result{}, nil
	case planBegin:
		return s.begin(p), nil
	case planCommit:
		return s.executeCommit()
	case planRollback:
		s.rollBack()
		return result{tag: "ROLLBACK"}, nil
	case planSet:
		s.settings[p.name] = stringOrEmpty(&p.operands[0].literal)
		return result{tag: "SET"}, nil
	case planShow:
		value := s.settings[p.name]
		return result{rows: [][]*string{{&value}}, tag: "SHOW"}, nil
	case planDiscard:
		if s.tx != nil && s.tx.explicit {
			return result{}, sqlErrorf(codeActiveTransaction, "DISCARD ALL cannot run inside a transaction block")
		}
		s.resetState()
		return result{tag: "DISCARD ALL"}, nil
	case planGroup:
		return s.executeGroupFunction(ctx, p, args)
	case planActivity:
		return s.executeActivity(p, args)
	}
	if s.tx == nil {
		s.tx = s.member.newTransaction(false, false)
	}
	return s.member.executeData(ctx, s.run, s.tx, p, args)
}

func (s *session) begin(p *plan) result {
	if s.tx == nil {
		s.tx = s.member.newTransaction(true, p.readOnly)
	}
	s.tx.explicit = true
	return result{tag: "BEGIN"}
}

// executeCommit implements COMMIT. It rolls back a failed transaction and then returns the command tag ROLLBACK.
func (s *session) executeCommit() (result, error) {
	if s.tx == nil {
		return result{tag: "COMMIT"}, nil
	}
	if s.tx.failed {
		s.rollBack()
		return result{tag: "ROLLBACK"}, nil
	}
	return result{tag: "COMMIT"}, s.commit()
}

// commit ends the current transaction. It returns an error that ends the connection if the response is to be dropped.
func (s *session) commit() error {
	tx := s.tx
	s.tx = nil
	if err := s.member.faults.awaitUnfrozen(s.run.ctx); err != nil {
		return err
	}
	position, err := s.member.commit(s.run, tx)
	if err != nil {
		s.recordEnd(EventRollback, tx, position)
		return err
	}
	if position == (model.Position{}) {
		return nil
	}
	s.recordEnd(EventCommit, tx, position)
	if s.member.faults.takeDroppedResponse() {
		return io.ErrClosedPipe
	}
	return nil
}

func (s *session) rollBack() {
	if s.tx == nil {
		return
	}
	tx := s.tx
	s.tx = nil
	s.member.rollback(tx)
	if len(tx.order) > 0 {
		s.recordEnd(EventRollback, tx, model.Position{})
	}
}

func (s *session) executeGroupFunction(ctx context.Context, p *plan, args []*string) (result, error) {
	values := make([]string, len(p.operands))
	numbers := make([]uint64, len(p.operands))
	for i, o := range p.operands {
		value, err := o.resolve(args)
		if err != nil {
			return result{}, err
		}
		values[i] = stringOrEmpty(value)
		// Only the first argument, and all arguments of group_wait, must be numbers.
		numbers[i], err = strconv.ParseUint(values[i], 10, 64)
		if err != nil && (i == 0 || p.name == "wait") {
			return result{}, sqlErrorf(codeInvalidTextRepresentation, "invalid number %q", values[i])
		}
	}
	m := s.member
	var status Status
	var err error
	switch p.name {
	case "status":
		status = m.Status()
	case "adopt":
		status, err = m.AdoptTerm(numbers[0], values[1])
	case "promote":
		status, err = m.Promote(numbers[0], values[1])
	case "follow":
		status, err = m.FollowPrimary(numbers[0], values[1])
	case "wait":
		status = m.awaitPosition(ctx, numbers[0], numbers[1], time.Duration(numbers[2])*time.Millisecond)
	}
	return result{rows: [][]*string{status.columns()}, tag: "SELECT 1"}, err
}

// executeActivity returns the state of a connection in the form of pg_stat_activity.
func (s *session) executeActivity(p *plan, args []*string) (result, error) {
	pid, err := p.operands[0].resolve(args)
	if err != nil {
		return result{}, err
	}
	m := s.member
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, other := range s.run.conns {
		if strconv.FormatUint(uint64(other.id), 10) != stringOrEmpty(pid) {
			continue
		}
		state := "idle"
		if other.active.Load() {
			state = "active"
		}
		return result{rows: [][]*string{{&state}}, tag: "SELECT 1"}, nil
	}
	return result{tag: "SELECT 0"}, nil
}

// columns returns the values of the status in the order of groupColumns.
func (s Status) columns() []*string {
	role := "replica"
	if s.Primary {
		role = "primary"
	}
	values := []string{
		strconv.FormatUint(s.AdoptedTerm, 10),
		s.Orderer,
		role,
		strconv.FormatUint(s.Position.Term, 10),
		strconv.FormatUint(s.Position.Offset, 10),
		s.PrimaryAddress,
	}
	columns := make([]*string, len(values))
	for i := range values {
		columns[i] = &values[i]
	}
	return columns
}

func (s *session) record(sql string, args []*string, err error) {
	e := Event{Member: s.member.id, Kind: EventStatement, Connection: s.id, SQL: sql, Position: s.member.Status().Position}
	for _, arg := range args {
		e.Args = append(e.Args, stringOrEmpty(arg))
	}
	if s.tx != nil {
		e.Transaction, e.Workspace, e.RequestID = s.tx.id, s.tx.workspace, s.tx.requestID
	}
	var sqlErr *sqlError
	if errors.As(err, &sqlErr) {
		e.SQLState = sqlErr.code
	}
	s.member.history.add(e)
}

func (s *session) recordEnd(kind EventKind, tx *transaction, position model.Position) {
	s.member.history.add(Event{
		Member: s.member.id, Kind: kind, Connection: s.id, Transaction: tx.id,
		Workspace: tx.workspace, RequestID: tx.requestID, Position: position,
	})
}
