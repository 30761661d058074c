package zlfakeplatform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// setFaults replaces all faults by those in the JSON body.
func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if message := f.check(); message != "" {
		http.Error(w, message, http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	writeJSON(w, f)
}

func (p *Platform) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.Faults())
}

// maxSlowMs bounds Faults.SlowMs.
const maxSlowMs = 600_000

// check returns a message about the first invalid key, or an empty string.
func (f *Faults) check() string {
	switch {
	case f.SlowMs < 0 || f.SlowMs > maxSlowMs:
		return fmt.Sprintf("key \"slowMs\": found %d, allowed is 0 to %d", f.SlowMs, maxSlowMs)
	case !(f.LoseReplies >= 0 && f.LoseReplies <= 1):
		return fmt.Sprintf("key \"loseReplies\": found %v, allowed is 0 to 1", f.LoseReplies)
	default:
		return ""
	}
}

func (p *Platform) getCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.Counts())
}

// SetVMs replaces the list of VMs; GET /vms shows it after VMLag.
func (p *Platform) SetVMs(vms []VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vmListHistory = append(p.vmListHistory, timedVMList{
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

// listVMs replies with the latest list that is at least VMLag old.
func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	visibleUntil := time.Now().Add(-p.VMLag)
	vms := []VM{}
	for _, l := range p.vmListHistory {
		if !l.at.After(visibleUntil) {
			vms = l.vms
		}
	}
	writeJSON(w, vms)
}
