package zlfakeplatform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if fault := f.check(); fault != "" {
		http.Error(w, fault, http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	reply(w, f)
}

func (p *Platform) getFaults(w http.ResponseWriter, _ *http.Request) {
	reply(w, p.Faults())
}

// maxSlow bounds SlowMs.
const maxSlow = 600_000

// check names the first key that is wrong.
func (f *Faults) check() string {
	switch {
	case f.SlowMs < 0 || f.SlowMs > maxSlow:
		return fmt.Sprintf("key \"slowMs\": found %d, allowed is 0 to %d", f.SlowMs, maxSlow)
	case !(f.LoseReplies >= 0 && f.LoseReplies <= 1):
		return fmt.Sprintf("key \"loseReplies\": found %v, allowed is 0 to 1", f.LoseReplies)
	default:
		return ""
	}
}

func (p *Platform) getCounts(w http.ResponseWriter, _ *http.Request) {
	reply(w, p.Counts())
}

// SetVMs replaces the true list of VMs; readers see it after VMLag.
func (p *Platform) SetVMs(vms []VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, listedVMs{
		at:  time.Now(),
		vms: vms,
	})
}

func (p *Platform) setVMs(w http.ResponseWriter, r *http.Request) {
	var vms []VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetVMs(vms)
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := time.Now().Add(-p.VMLag)
	vms := []VM{}
	for _, l := range p.lists {
		if !l.at.After(seen) {
			vms = l.vms
		}
	}
	reply(w, vms)
}
