package metastore

import "testing"

// Guards against a revision or a lease that is taken for an equal one of an earlier history of the store.
func TestErasAreToldApart(t *testing.T) {
	const revision, id = 1207, 17
	if RevisionInEra(0, revision) != revision || LeaseInEra(0, id) != id {
		t.Error("revisions and leases of era 0 are not the store's own")
	}
	if RevisionInEra(3, 0) != 0 || LeaseInEra(3, 0) != 0 {
		t.Error("zero does not stay zero")
	}
	if later := RevisionInEra(2, 1); later <= RevisionInEra(1, 1<<revisionBits-1) || EraOf(later) != 2 || StoreRevision(later) != 1 {
		t.Errorf("revision 1 of era 2 is %d, of era %d", later, EraOf(later))
	}
	if l := LeaseInEra(2, id); l == LeaseInEra(1, id) || !l.IsOfEra(2) || l.IsOfEra(1) || l.StoreID() != id || l < 0 {
		t.Errorf("lease %d of era 2 is %d", id, l)
	}
	if l := LeaseInEra(maxLeaseEra, 1<<leaseBits-1); l < 0 || l.StoreID() != 1<<leaseBits-1 {
		t.Errorf("the highest lease is %d", l)
	}
}
