package zlmark

import (
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlroster"

	"github.com/rotisserie/eris"
)

// Fleet holds the VMs and upstreams against which a mark is checked.
type Fleet struct {
	Catalogs map[zlunit.Service]*zlcatalog.Catalog
	Rosters  map[zlunit.DataCentre]zlroster.Roster
}

// CheckOut returns an *Error if name must not be marked as out of service: nothing has
// that name, it is the last of its kind in service, or a shard would lose its last
// replica in service. An unknown subject is not checked.
func (m *Marks) CheckOut(f *Fleet, subject Subject, name string) error {
	switch subject {
	case SubjectVM:
		return m.checkVM(f, zlunit.VM(name))
	case SubjectDataCentre:
		return m.checkDataCentre(f, zlunit.DataCentre(name))
	case SubjectUpstream:
		return m.checkUpstream(f, zlunit.Upstream(name))
	}
	return nil
}

// checkVM fails if the VM is unknown or the last in service.
func (m *Marks) checkVM(f *Fleet, vm zlunit.VM) error {
	known := false
	remaining := 0
	for dc, r := range f.Rosters {
		for _, member := range r.Members {
			known = known || member.VM == vm
			if member.VM != vm && !m.VMOut(member.VM, dc) {
				remaining++
			}
		}
	}
	if !known {
		return unknownError(SubjectVM, string(vm))
	}
	if remaining == 0 {
		return lastError("VM %q is the last in service", vm)
	}
	return nil
}

// checkDataCentre fails if the data centre is unknown or the last in service, or if a
// shard would lose its last replica in service.
func (m *Marks) checkDataCentre(f *Fleet, dc zlunit.DataCentre) error {
	known := map[zlunit.DataCentre]bool{}
	for name := range f.Rosters {
		known[name] = true
	}
	for _, c := range f.Catalogs {
		for _, u := range c.Upstreams {
			known[u.DataCentre] = true
		}
	}
	if !known[dc] {
		return unknownError(SubjectDataCentre, string(dc))
	}
	for name := range known {
		if _, out := m.DataCentres[name]; !out && name != dc {
			return m.checkShardsStayServed(f, func(u zlcatalog.Upstream) bool {
				return u.DataCentre == dc
			})
		}
	}
	return lastError("data centre %q is the last in service", dc)
}

// checkUpstream fails if the upstream is unknown or a shard would lose its last replica
// in service.
func (m *Marks) checkUpstream(f *Fleet, name zlunit.Upstream) error {
	for _, c := range f.Catalogs {
		for _, u := range c.Upstreams {
			if u.Name == name {
				return m.checkShardsStayServed(f, func(u zlcatalog.Upstream) bool {
					return u.Name == name
				})
			}
		}
	}
	return unknownError(SubjectUpstream, string(name))
}

// checkShardsStayServed fails if a shard of a service's newest index version would lose
// its last replica in service if all upstreams for which takenOut is true were taken out.
func (m *Marks) checkShardsStayServed(f *Fleet, takenOut func(zlcatalog.Upstream) bool) error {
	for service, c := range f.Catalogs {
		if len(c.Versions) == 0 {
			continue
		}
		before := map[zlunit.Upstream]bool{}
		after := map[zlunit.Upstream]bool{}
		for _, u := range c.Upstreams {
			before[u.Name] = !u.Leaving && !m.UpstreamOut(u.Name, u.DataCentre)
			after[u.Name] = before[u.Name] && !takenOut(u)
		}
		newest := c.Versions[0]
		for _, v := range c.Versions {
			if v.Number > newest.Number {
				newest = v
			}
		}
		for s, replicas := range newest.Shards {
			if anyInService(replicas, before) && !anyInService(replicas, after) {
				return lastError("service %q: shard %d would have no replica in service", service, s)
			}
		}
	}
	return nil
}

// anyInService reports whether any of the names is in service.
func anyInService(names []zlunit.Upstream, inService map[zlunit.Upstream]bool) bool {
	for _, name := range names {
		if inService[name] {
			return true
		}
	}
	return false
}

func unknownError(subject Subject, name string) error {
	return &Error{
		Op:   "check",
		Kind: KindUnknown,
		Err:  eris.Errorf("no %s is named %q", subject, name),
	}
}

func lastError(format string, args ...any) error {
	return &Error{
		Op:   "check",
		Kind: KindLast,
		Err:  eris.Errorf(format, args...),
	}
}
