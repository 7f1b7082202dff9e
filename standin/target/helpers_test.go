package target_test

import (
	"context"
	"errors"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/waxwingspindle/waxwingspindle/standin/target"
)

func startGroup(t *testing.T, o target.GroupOptions) *target.Group {
	t.Helper()
	if o.Member.ConnectTime == 0 {
		o.Member.ConnectTime = -1
	}
	g, err := target.StartGroup(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g
}

func connect(t *testing.T, m *target.Member) *pgconn.PgConn {
	t.Helper()
	conn, err := pgconn.Connect(t.Context(), "postgres://app@"+m.Address()+"/db?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

// exec executes a statement and returns its rows.
func exec(conn *pgconn.PgConn, sql string, args ...string) ([][]string, error) {
	values := make([][]byte, len(args))
	for i, arg := range args {
		values[i] = []byte(arg)
	}
	res := conn.ExecParams(context.Background(), sql, values, nil, nil, nil).Read()
	var rows [][]string
	for _, row := range res.Rows {
		var columns []string
		for _, column := range row {
			columns = append(columns, string(column))
		}
		rows = append(rows, columns)
	}
	return rows, res.Err
}

func mustExec(t *testing.T, conn *pgconn.PgConn, sql string, args ...string) [][]string {
	t.Helper()
	rows, err := exec(conn, sql, args...)
	if err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return rows
}

// sqlState returns the SQLSTATE of an error, or an empty string.
func sqlState(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return ""
}

// awaitValue polls a member until it returns the value for a key.
func awaitValue(t *testing.T, m *target.Member, key, value string) {
	t.Helper()
	conn := connect(t, m)
	for {
		rows := mustExec(t, conn, "SELECT value FROM kv WHERE key = $1", key)
		if len(rows) == 1 && rows[0][0] == value {
			return
		}
		if t.Context().Err() != nil {
			t.Fatalf("%s: key %q has %v, want %q", m.ID(), key, rows, value)
		}
	}
}
