package platform

import (
	"encoding/json"
	"net/http"

	"github.com/waxwingspindle/waxwingspindle/gen/platform"
)

// AdminHandler returns the admin interface of the stand-in process for tests: PUT /faults, PUT /hosts and GET /counts.
func (p *Platform) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if decode(w, r, &f) {
			p.SetFaults(f)
		}
	})
	mux.HandleFunc("PUT /hosts", func(w http.ResponseWriter, r *http.Request) {
		var list []*platform.PlatformHost
		if decode(w, r, &list) {
			p.SetHosts(list)
		}
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(p.CallCounts())
	})
	return mux
}

// decode parses the request body into value. On failure it responds with status 400 and returns false.
func decode(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := json.NewDecoder(r.Body).Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
