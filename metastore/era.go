package metastore

// The store may come back from an earlier copy. What was written since the copy is gone, and its revisions are given out again, so that
// a revision alone does not name one state. The store counts such returns in its era. The revisions and leases of this package include
// the era, so that those of a later history are higher than all earlier ones and never equal to them. In era 0 they are the store's own.
const (
	revisionBits = 40 // a store with 1,000 changes a second reaches this in 35 years
	leaseBits    = 53 // identifiers are JSON numbers
	maxLeaseEra  = 1<<(63-leaseBits) - 1
)

// RevisionInEra returns the revision for a revision of the store in an era. Zero, which means no revision, stays zero.
func RevisionInEra(era, revision uint64) uint64 {
	if revision == 0 {
		return 0
	}
	return era<<revisionBits | revision
}

// EraOf returns the era of a revision.
func EraOf(revision uint64) uint64 { return revision >> revisionBits }

// StoreRevision returns the store's own revision, which is valid in the era of the revision only.
func StoreRevision(revision uint64) uint64 { return revision & (1<<revisionBits - 1) }

// LeaseInEra returns the lease for an identifier of the store in an era. Zero, which means no lease, stays zero.
func LeaseInEra(era uint64, id int64) Lease {
	if id == 0 {
		return 0
	}
	return Lease(int64(era&maxLeaseEra)<<leaseBits | id)
}

// IsOfEra reports whether the lease was granted in an era. Eras that are 1,024 apart are not told apart.
func (l Lease) IsOfEra(era uint64) bool { return uint64(l)>>leaseBits == era&maxLeaseEra }

// StoreID returns the store's identifier of the lease.
func (l Lease) StoreID() int64 { return int64(l) & (1<<leaseBits - 1) }
