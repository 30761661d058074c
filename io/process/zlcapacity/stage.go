// Package zlcapacity measures how the cost of the tier grows with daemons,
// upstreams, shards and queries, and extrapolates it by fitted lines to the
// size that the product is designed for. It starts the stand-ins and writes
// settings files; the caller starts the daemons. It is not for load or failure
// tests, for which see zlload and zlsoak.
package zlcapacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlsettings"
	"zinnialock/io/process/zlconfig"
	"zinnialock/io/process/zlkeys"
	"zinnialock/io/process/zlplatform"
	"zinnialock/io/standin/zlfakeplatform"
	"zinnialock/io/standin/zlfakeupstream"
	"zinnialock/io/standin/zlports"
	"zinnialock/io/version/zlsync"
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindStage means that the stage could not be started.
	KindStage Kind = "stage"
	// KindMeasure means that a measurement gave no valid result.
	KindMeasure Kind = "measure"
	// KindReport means that the points, the plot or the report page could not be read or
	// written.
	KindReport Kind = "report"
)

// Error reports a capacity run that failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("zlcapacity: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// ServiceName is the name of the only service of a stage.
const ServiceName zlunit.Service = "capacity"

// Deployment is the root of a stage's settings tree.
const Deployment zlunit.Deployment = "capacity"

// DataCentres lists the four data centres of the size that the product is
// designed for.
var DataCentres = []zlunit.DataCentre{"north-a", "north-b", "south-a", "south-b"}

// StageFile is the name of the file in Dir that describes a running stage.
const StageFile = "stage.json"

// DaemonPlace holds the settings file and the listen addresses of a daemon.
type DaemonPlace struct {
	Name zlunit.VM `json:"name"`
	// Config is the path of the settings file.
	Config string `json:"config"`
	// Caller and Admin are the listen addresses for callers and operators.
	Caller string `json:"caller"`
	Admin  string `json:"admin"`
}

// Stage runs the platform and upstream stand-ins of one measurement and writes
// the settings files of its daemons, which are started separately. The exported
// fields up to Nodes must be set before Run; Run sets the others.
type Stage struct {
	// Dir is the folder for the written files.
	Dir       string `json:"-"`
	Daemons   int    `json:"daemons"`
	Upstreams int    `json:"upstreams"`
	Shards    int    `json:"shards"`
	// Slots is the number of requests that an upstream serves at once.
	Slots zlunit.Slots `json:"slots"`
	// ServiceMs is the mean service time of upstreams, in milliseconds.
	ServiceMs float64 `json:"serviceMs"`
	// Nodes is the number of nodes in the settings tree.
	Nodes int `json:"nodes"`

	// Platform is the address of the platform stand-in.
	Platform string `json:"platform"`
	// Places lists the daemons in the order of their numbers.
	Places []DaemonPlace `json:"places"`

	platform  *zlfakeplatform.Platform
	server    *http.Server
	upstreams []*zlfakeupstream.Upstream
}

// connectionsPerSlot gives the connection limit of a stage's upstreams.
const connectionsPerSlot = 10

// Run starts the stand-ins and writes the settings files of the daemons and
// StageFile. After an error the stand-ins may still run.
func (s *Stage) Run(ctx context.Context) error {
	if err := s.runPlatform(); err != nil {
		return newStageError(err)
	}
	if err := s.runUpstreams(ctx); err != nil {
		return newStageError(err)
	}
	if err := s.writeDaemons(); err != nil {
		return newStageError(err)
	}
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return newStageError(err)
	}
	if err := os.WriteFile(filepath.Join(s.Dir, StageFile), data, 0o600); err != nil {
		return newStageError(err)
	}
	return nil
}

func newStageError(err error) error {
	return &Error{
		Op:   "run",
		Kind: KindStage,
		Err:  err,
	}
}

func (s *Stage) runPlatform() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "start platform stand-in")
	}
	s.Platform = listener.Addr().String()
	s.platform = &zlfakeplatform.Platform{}
	s.server = &http.Server{
		Handler:           s.platform.Handler(),
		ReadHeaderTimeout: time.Minute,
	}
	go func() {
		_ = s.server.Serve(listener)
	}()
	return nil
}

func newClient(address string) *zlplatform.Client {
	return &zlplatform.Client{
		Address: address,
		HTTP:    http.DefaultClient,
		Timeout: 5 * time.Second,
	}
}

func (s *Stage) runUpstreams(ctx context.Context) error {
	c := &zlcatalog.Catalog{
		Service: ServiceName,
		Versions: []zlcatalog.Version{
			{
				Number: 1,
				Shards: make([][]zlunit.Upstream, s.Shards),
			},
		},
	}
	for i := range s.Upstreams {
		shard := i % s.Shards
		u := s.newUpstream(i, zlunit.Shard(shard))
		if err := u.Run(); err != nil {
			return eris.Wrap(err, "start upstream stand-in")
		}
		s.upstreams = append(s.upstreams, u)
		c.Upstreams = append(c.Upstreams, zlcatalog.Upstream{
			Name:        u.Settings.Name,
			DataCentre:  DataCentres[(i/s.Shards+shard)%len(DataCentres)],
			Address:     u.Address,
			Slots:       s.Slots,
			Connections: u.Settings.Connections,
			ColdLimit:   s.Slots,
		})
		shards := c.Versions[0].Shards
		shards[shard] = append(shards[shard], u.Settings.Name)
	}
	client := newClient(s.Platform)
	if _, err := client.Put(ctx, zlplatform.ObjectCatalog, string(ServiceName), 0, c); err != nil {
		return err
	}
	_, err := client.Put(ctx, zlplatform.ObjectSettings, zlsync.TreeName, 0, s.tree())
	return err
}

// tree returns a settings tree with the root and Nodes-1 nodes below it.
func (s *Stage) tree() *zlsettings.Tree {
	t := &zlsettings.Tree{
		Nodes: map[zlsettings.Path]zlsettings.Node{
			zlsettings.Path(Deployment): {
				zlsettings.KeyDeadline: "10s",
			},
		},
	}
	for i := 1; i < s.Nodes; i++ {
		path := fmt.Sprintf("%s/%s/%s/kind-%d", Deployment, zlsettings.AnyDataCentre, ServiceName, i)
		t.Nodes[zlsettings.Path(path)] = zlsettings.Node{
			zlsettings.KeyDeadline: "10s",
		}
	}
	return t
}

func (s *Stage) newUpstream(i int, shard zlunit.Shard) *zlfakeupstream.Upstream {
	return &zlfakeupstream.Upstream{
		Address: "127.0.0.1:0",
		Seed:    uint64(i) + 1,
		Settings: zlfakeupstream.Settings{
			Name:              zlunit.Upstream(fmt.Sprintf("u-%d", i)),
			Service:           ServiceName,
			Slots:             s.Slots,
			Connections:       zlunit.Connections(int(s.Slots) * connectionsPerSlot),
			ColdLimit:         s.Slots,
			ServiceMs:         s.ServiceMs,
			StragglerSlowdown: 1,
			QueueLimit:        1 << 16,
			Shards: map[zlunit.IndexVersion][]zlunit.Shard{
				1: {shard},
			},
		},
	}
}

// Close stops the stand-ins. It may be called only after Run has started them.
func (s *Stage) Close() {
	for _, u := range s.upstreams {
		u.Close()
	}
	_ = s.server.Close()
}

func (s *Stage) writeDaemons() error {
	authority, err := zlkeys.NewAuthority()
	if err != nil {
		return err
	}
	ports, err := zlports.Free(portsPerDaemon * s.Daemons)
	if err != nil {
		return err
	}
	for i := range s.Daemons {
		if err := s.writeDaemon(authority, i, ports[portsPerDaemon*i:]); err != nil {
			return err
		}
	}
	return nil
}

// portsPerDaemon is the number of listeners of a daemon.
const portsPerDaemon = 3

func (s *Stage) writeDaemon(authority *zlkeys.Authority, i int, ports []string) error {
	dc := DataCentres[i%len(DataCentres)]
	name := fmt.Sprintf("%s-%d", dc, i/len(DataCentres)+1)
	files, err := authority.WriteFiles(s.Dir, name)
	if err != nil {
		return err
	}
	place := DaemonPlace{
		Name:   zlunit.VM(name),
		Config: filepath.Join(s.Dir, name+".toml"),
		Caller: ports[0],
		Admin:  ports[1],
	}
	cfg := &zlconfig.Config{
		Name:            place.Name,
		DataCentre:      dc,
		Deployment:      Deployment,
		CallerListen:    ports[0],
		AdminListen:     ports[1],
		PeerListen:      ports[2],
		PlatformAddress: s.Platform,
		Certificate:     files.Certificate,
		Key:             files.Key,
		Authority:       files.Authority,
		LogLevel:        "error",
	}
	if err := os.WriteFile(place.Config, []byte(cfg.Text()), 0o600); err != nil {
		return eris.Wrap(err, place.Config)
	}
	s.Places = append(s.Places, place)
	return nil
}

// ReadStage reads the description that a running stage wrote to dir.
func ReadStage(dir string) (*Stage, error) {
	data, err := os.ReadFile(filepath.Join(dir, StageFile))
	if err != nil {
		return nil, newStageError(err)
	}
	s := &Stage{
		Dir: dir,
	}
	if err := json.Unmarshal(data, s); err != nil {
		return nil, newStageError(eris.Wrap(err, StageFile))
	}
	return s, nil
}
