package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	goahttp "goa.design/goa/v3/http"

	"github.com/waxwingspindle/waxwingspindle/config"
	"github.com/waxwingspindle/waxwingspindle/gen/http/operator/client"
	genoperator "github.com/waxwingspindle/waxwingspindle/gen/operator"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// callTimeout bounds a call of the operators' API. A change waits for the hosts to apply it.
const callTimeout = 30 * time.Second

// unreachableError reports that the daemon did not respond.
type unreachableError struct{ err error }

func (e *unreachableError) Error() string { return fmt.Sprintf("the daemon did not answer: %v", e.err) }

func (e *unreachableError) Unwrap() error { return e.err }

// clientOptions holds the flags that select the daemon and the output format.
type clientOptions struct {
	Operator string `help:"Base URL of a daemon's operators' service." env:"WAXWINGSPINDLE_OPERATOR" default:"http://127.0.0.1:7401"`
	Token    string `help:"Operator token." env:"WAXWINGSPINDLE_TOKEN"`
	Output   string `help:"Output format: ${enum}." enum:"text,json" default:"text"`
}

func (c clientOptions) authorization() *string {
	header := "Bearer " + c.Token
	return &header
}

func (c clientOptions) newClient() (*genoperator.Client, error) {
	u, err := url.Parse(c.Operator)
	if err != nil || u.Host == "" {
		return nil, fmt.Errorf("--operator has value %q: allowed is a URL such as http://127.0.0.1:7401", c.Operator)
	}
	httpClient := &http.Client{Timeout: callTimeout}
	endpoints := client.NewClient(u.Scheme, u.Host, httpClient, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return genoperator.NewClient(endpoints.ConfigShow(), endpoints.ConfigDiff(), endpoints.ConfigApply(),
		endpoints.KeyCreate(), endpoints.KeyWithdraw(), endpoints.WorkspaceSet(), endpoints.Status(), endpoints.Drain()), nil
}

// print writes v as JSON or calls text, depending on the output format.
func (c clientOptions) print(w io.Writer, v any, text func(io.Writer)) error {
	if c.Output != "json" {
		text(w)
		return nil
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// wrapUnreachable wraps connection and protocol errors in an unreachableError. Error responses of the daemon are returned
// unchanged.
func wrapUnreachable(err error) error {
	var clientErr *goahttp.ClientError
	if errors.As(err, &clientErr) {
		return &unreachableError{err: err}
	}
	return err
}

// configFiles holds the arguments and flags that name a base file and its overlays.
type configFiles struct {
	Base    string            `arg:"" help:"Base file." type:"existingfile"`
	Overlay map[string]string `help:"Overlay of a data centre, as DATA-CENTRE=FILE; may be repeated." mapsep:"none"`
}

func (f configFiles) read() (config.Declaration, error) {
	c := config.Declaration{Overlays: map[model.DataCentre]string{}}
	base, err := os.ReadFile(f.Base)
	if err != nil {
		return c, err
	}
	c.Base = string(base)
	for dc, name := range f.Overlay {
		text, err := os.ReadFile(name)
		if err != nil {
			return c, err
		}
		c.Overlays[model.DataCentre(dc)] = string(text)
	}
	return c, nil
}

// check reads and validates the files. Unlike config.Declaration.Validate, it reports problems under the file names.
func (f configFiles) check() (config.Declaration, error) {
	c, err := f.read()
	if err != nil {
		return c, err
	}
	base := config.File{Name: f.Base, Text: c.Base}
	if _, err := config.Parse(base, nil); err != nil {
		return c, err
	}
	for _, dc := range slices.Sorted(maps.Keys(f.Overlay)) {
		overlay := config.File{Name: f.Overlay[dc], Text: c.Overlays[model.DataCentre(dc)]}
		if _, err := config.Parse(base, &overlay); err != nil {
			return c, err
		}
	}
	return c, nil
}

func overlayTexts(c config.Declaration) map[string]string {
	out := map[string]string{}
	for dc, text := range c.Overlays {
		out[string(dc)] = text
	}
	return out
}

type configDiffCommand struct {
	clientOptions
	configFiles
}

// Run prints the differences between the active configuration and the files.
func (c *configDiffCommand) Run(e *environment) error {
	declared, err := c.check()
	if err != nil {
		return err
	}
	api, err := c.newClient()
	if err != nil {
		return err
	}
	r, err := api.ConfigDiff(e.ctx, &genoperator.ConfigDiffPayload{Authorization: c.authorization(),
		Base: declared.Base, Overlays: overlayTexts(declared)})
	if err != nil {
		return wrapUnreachable(err)
	}
	err = c.print(e.stdout, r, func(w io.Writer) {
		fmt.Fprintf(w, "Version in force: %d\n", r.Version)
		printLines(w, r.Differences)
	})
	if err == nil && len(r.Differences) > 0 {
		return differentError{}
	}
	return err
}

type configApplyCommand struct {
	clientOptions
	configFiles
	ExpectVersion uint64 `help:"Version that you have seen, as config diff prints it; 0 for the first configuration." required:""`
	ChangeID      string `help:"Id of the change; repeat a change whose outcome is not known with the same id."`
}

// Run applies the files.
func (c *configApplyCommand) Run(e *environment) error {
	declared, err := c.check()
	if err != nil {
		return err
	}
	api, err := c.newClient()
	if err != nil {
		return err
	}
	id := changeIDOrNew(c.ChangeID)
	r, err := api.ConfigApply(e.ctx, &genoperator.ConfigApplyPayload{Authorization: c.authorization(),
		Base: declared.Base, Overlays: overlayTexts(declared), ExpectedVersion: c.ExpectVersion, ChangeID: &id})
	return c.printChangeResult(e, id, r, err)
}

// printChangeResult prints the result of a change. After an error it prints the change id, with which the change can be
// repeated safely.
func (c clientOptions) printChangeResult(e *environment, id string, r *genoperator.Change, err error) error {
	if err != nil {
		fmt.Fprintf(e.stderr, "Change id: %s\n", id)
		return wrapUnreachable(err)
	}
	return c.print(e.stdout, r, func(w io.Writer) { printChange(w, r) })
}

func printChange(w io.Writer, r *genoperator.Change) {
	if !r.Changed {
		fmt.Fprintf(w, "Nothing to change. Version: %d\n", r.Version)
		return
	}
	fmt.Fprintf(w, "Accepted. Version: %d\n", r.Version)
	printLines(w, r.Differences)
	fmt.Fprintf(w, "In force on %d hosts: %s\n", len(r.Confirmed), strings.Join(r.Confirmed, ", "))
	if len(r.Unconfirmed) > 0 {
		fmt.Fprintf(w, "Not confirmed by %d hosts: %s\n", len(r.Unconfirmed), strings.Join(r.Unconfirmed, ", "))
	}
}

func printLines(w io.Writer, lines []string) {
	for _, line := range lines {
		fmt.Fprintf(w, "  %s\n", line)
	}
}

func changeIDOrNew(id string) string {
	if id == "" {
		return uuid.NewString()
	}
	return id
}

type configShowCommand struct{ clientOptions }

// Run prints the active configuration.
func (c *configShowCommand) Run(e *environment) error {
	api, err := c.newClient()
	if err != nil {
		return err
	}
	r, err := api.ConfigShow(e.ctx, &genoperator.ConfigShowPayload{Authorization: c.authorization()})
	if err != nil {
		return wrapUnreachable(err)
	}
	return c.print(e.stdout, r, func(w io.Writer) {
		fmt.Fprintf(w, "# version %d\n%s", r.Version, r.Base)
		for _, dc := range slices.Sorted(maps.Keys(r.Overlays)) {
			fmt.Fprintf(w, "\n# overlay of data centre %s\n%s", dc, r.Overlays[dc])
		}
	})
}

type keyCreateCommand struct {
	clientOptions
	Workspace string `arg:"" help:"Workspace that the key is for."`
	ChangeID  string `help:"Id of the change."`
}

// Run creates a key and prints it.
func (c *keyCreateCommand) Run(e *environment) error {
	api, err := c.newClient()
	if err != nil {
		return err
	}
	id := changeIDOrNew(c.ChangeID)
	r, err := api.KeyCreate(e.ctx, &genoperator.KeyCreatePayload{Authorization: c.authorization(),
		Workspace: c.Workspace, ChangeID: &id})
	if err != nil {
		return c.printChangeResult(e, id, nil, err)
	}
	return c.print(e.stdout, r, func(w io.Writer) {
		fmt.Fprintf(w, "Key (shown once): %s\nKey id: %s\n", r.Key, r.KeyID)
		if r.Change != nil {
			printChange(w, r.Change)
		}
	})
}

type keyWithdrawCommand struct {
	clientOptions
	KeyID    string `arg:"" help:"Id of the key, as key create or config show --output json prints it."`
	ChangeID string `help:"Id of the change."`
}

// Run withdraws a key.
func (c *keyWithdrawCommand) Run(e *environment) error {
	api, err := c.newClient()
	if err != nil {
		return err
	}
	id := changeIDOrNew(c.ChangeID)
	r, err := api.KeyWithdraw(e.ctx, &genoperator.KeyWithdrawPayload{Authorization: c.authorization(),
		KeyID: c.KeyID, ChangeID: &id})
	return c.printChangeResult(e, id, r, err)
}

type workspaceSetCommand struct {
	clientOptions
	Workspace     string   `arg:"" help:"Name of the workspace; it is created when it does not exist."`
	Rate          *float64 `help:"Statements a second."`
	Burst         *float64 `help:"Statements at once."`
	Services      []string `help:"Services that the workspace may use."`
	ExpectVersion uint64   `help:"Refuse when the configuration is not at this version; 0 accepts any."`
	ChangeID      string   `help:"Id of the change."`
}

// Run creates or changes a workspace.
func (c *workspaceSetCommand) Run(e *environment) error {
	api, err := c.newClient()
	if err != nil {
		return err
	}
	id := changeIDOrNew(c.ChangeID)
	r, err := api.WorkspaceSet(e.ctx, &genoperator.WorkspaceSetPayload{Authorization: c.authorization(),
		Workspace: c.Workspace, Rate: c.Rate, Burst: c.Burst, Services: c.Services, ExpectedVersion: &c.ExpectVersion,
		ChangeID: &id})
	return c.printChangeResult(e, id, r, err)
}

type statusCommand struct{ clientOptions }

// Run prints the status of a daemon.
func (c *statusCommand) Run(e *environment) error {
	api, err := c.newClient()
	if err != nil {
		return err
	}
	r, err := api.Status(e.ctx, &genoperator.StatusPayload{Authorization: c.authorization()})
	if err != nil {
		return wrapUnreachable(err)
	}
	return c.print(e.stdout, r, func(w io.Writer) { printStatus(w, r) })
}

func printStatus(w io.Writer, r *genoperator.StatusResult) {
	fmt.Fprintf(w, "Host %s in data centre %s is %s.\n", r.Host, r.DataCentre, r.State)
	fmt.Fprintf(w, "Configuration version %d, roster version %d, proof of freshness: %s, %d ms old.\n",
		r.ConfigurationVersion, r.RosterVersion, r.Proof, r.ProofAgeMs)
	for _, m := range r.Members {
		fmt.Fprintf(w, "  host %s (%s, %s) is %s, configuration version %d\n", m.Host, m.DataCentre, m.Address, m.State,
			m.ConfigurationVersion)
	}
	for _, s := range r.Services {
		fmt.Fprintf(w, "  service %s: home %s, primary %s, term %d\n", s.Service, s.Home, s.Primary, s.Term)
		for _, t := range s.Targets {
			fmt.Fprintf(w, "    target %s (%s) is %s, %s, at term %d offset %d\n", t.Target, t.Address, t.State, t.Role,
				t.LogTerm, t.LogOffset)
		}
	}
}

type drainCommand struct{ clientOptions }

// Run starts a planned stop.
func (c *drainCommand) Run(e *environment) error {
	api, err := c.newClient()
	if err != nil {
		return err
	}
	if err := api.Drain(e.ctx, &genoperator.DrainPayload{Authorization: c.authorization()}); err != nil {
		return wrapUnreachable(err)
	}
	return c.print(e.stdout, map[string]bool{"draining": true}, func(w io.Writer) {
		fmt.Fprintln(w, "The daemon is draining.")
	})
}
