// Package target is a stand-in for a replicated database group. Its members speak the PostgreSQL protocol, keep a
// durable term and log, replicate asynchronously over TCP and obey the group functions of the design page, section 4.2.
//
// The data model is small: tables of key/value text rows held in memory, and statements recognised by regular
// expressions. Faults are settable from Go (Member) and over HTTP (Admin). A History records everything that ran.
//
// Decisions that the design page leaves open:
//
//   - A primary that adopts a higher term becomes a replica without a primary. Its writes fail with SQLSTATE 25006.
//   - A group function that the member refuses fails with SQLSTATE 55000.
//   - group_follow accepts a term above the adopted one and adopts it without an orderer, because only the orderer of a
//     decided term sends it.
//   - group_wait answers with the member's status when the position is reached and also when the time has passed.
//   - Connections of the user ControlUser may use the reserved connections beyond the cap.
//   - Replication runs over the member's only listener, in connections that ask for it in their startup message.
//   - A connection that was made silent ends when its client closes it. Replication is never made silent.
//   - Calls of group functions and of pg_stat_activity are not recorded, except orders that had an effect.
//   - A null is stored as an empty text.
//   - Group functions, transaction control and ledger statements take neither a slot nor statement time.
package target
