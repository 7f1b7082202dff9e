// Package target is a stand-in for a replicated database group. Its members speak the PostgreSQL protocol, keep a
// durable term and log, replicate asynchronously over TCP and implement the group functions of the design page,
// section 4.2.
//
// The data model consists of in-memory tables of key/value text rows. Statements are recognised by regular expressions.
// Faults can be injected through the methods of Member and over HTTP (AdminHandler). A History records all statements and
// changes of state.
//
// Behaviour that the design page does not specify:
//
//   - A primary that adopts a higher term becomes a replica without a primary. Its writes fail with SQLSTATE 25006.
//   - A group function that the member refuses fails with SQLSTATE 55000.
//   - group_follow accepts a term above the adopted one and adopts it without an orderer, because only the orderer of a
//     decided term sends it.
//   - group_wait returns the member's status when the position is reached or the timeout expires.
//   - Connections of ControlUser may use the reserved connections beyond the connection limit.
//   - Replication uses the member's client listener. A startup parameter marks replication connections.
//   - A silenced connection ends when its client closes it. Replication connections are never silenced.
//   - Calls of group functions and queries of pg_stat_activity are not recorded, except calls that changed the state.
//   - A null is stored as an empty text.
//   - Group functions and transaction control use neither a slot nor statement time. Neither do ledger statements.
package target
