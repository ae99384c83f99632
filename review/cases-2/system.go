package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// region is the only region of the small deployments that the cases play.
	region = "at-east"
	// settleTime is how long the machines run before traffic starts, as in the site files.
	settleTime = 10 * time.Second
	// graceSeconds is GraceS of the site files.
	graceSeconds = 8
	fileMode     = 0o600
	folderMode   = 0o700
)

// system is the project's processes of one case, with the stand-ins around them.
type system struct {
	folder, binary string
	zones          []string
	store          *store
	processes      []*process
	record         *record
}

// process is one process of the project.
type process struct {
	node, role, zone, settings, log string
	// address is where callers reach it.
	address, dataFolder string
	binary              string

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// record is record.txt of a case.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

// line writes one line with the time since the start.
func (r *record) line(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// The ports of the project's processes lie below those that the system gives to outgoing connections, which could
// take one between the search and the start of its process.
const firstPort, lastPort = 15000, 32000

// usedPorts are the ports that were handed out.
var usedPorts = make(map[int]bool)

// freeAddress returns a loopback address whose port is free and was not handed out before.
func freeAddress() string {
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if usedPorts[port] {
			continue
		}
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		listener.Close()
		usedPorts[port] = true
		return fmt.Sprintf("127.0.0.1:%d", port)
	}
}

// newSystem prepares one replica in each zone and the given number of gateways in the first zone.
func newSystem(folder, binary string, zones []string, gateways int, record *record) *system {
	s := &system{folder: folder, binary: binary, zones: zones, store: newStore(), record: record}
	var seeds []string
	for i, zone := range zones {
		replica := s.add("replica", fmt.Sprintf("store-%s-%d", zone, 1), zone)
		replica.address, replica.dataFolder = freeAddress(), filepath.Join(folder, replica.node, "data")
		if i < 3 {
			seeds = append(seeds, replica.address)
		}
	}
	for i := range gateways {
		gateway := s.add("gateway", fmt.Sprintf("front-%s-%d", zones[0], i+1), zones[0])
		gateway.address = freeAddress()
	}
	for _, each := range s.processes {
		if err := s.writeSettings(each, seeds, true); err != nil {
			panic(err)
		}
	}
	return s
}

func (s *system) add(role, node, zone string) *process {
	folder := filepath.Join(s.folder, node)
	if err := os.MkdirAll(filepath.Join(folder, "data"), folderMode); err != nil {
		panic(err)
	}
	added := &process{
		node: node, role: role, zone: zone, binary: s.binary,
		settings: filepath.Join(folder, "node.yaml"), log: filepath.Join(folder, "log"),
	}
	s.processes = append(s.processes, added)
	return added
}

// writeSettings writes what deploy/settings.yaml.tmpl gives for a small deployment.
func (s *system) writeSettings(p *process, seeds []string, bootstrap bool) error {
	regions := make([]string, 0, len(s.zones))
	for _, zone := range s.zones {
		regions = append(regions, fmt.Sprintf("%q: %q", zone, region))
	}
	quoted := make([]string, 0, len(seeds))
	for _, seed := range seeds {
		quoted = append(quoted, fmt.Sprintf("%q", seed))
	}
	ingress, readiness, replica, memory := "", "", p.address, 304
	if p.role == "gateway" {
		ingress, readiness, replica, memory = p.address, freeAddress(), "", 284
	}
	text := fmt.Sprintf("node: %q\nzone: %q\ningress: %q\nreadiness: %q\nreplica: %q\nmetrics: %q\nforwarder: %q\nstore: %q\nseeds: [%s]\n"+
		"dataFolder: %q\nbootstrap: %t\ngraceMilliseconds: %d000\nmemoryMegabytes: %d\nzones: {%s}\nzonesBorne: 0\n",
		p.node, p.zone, ingress, readiness, replica, freeAddress(), freeAddress(), s.store.address(), strings.Join(quoted, ","),
		p.dataFolder, bootstrap, graceSeconds, memory, strings.Join(regions, ", "))
	return os.WriteFile(p.settings, []byte(text), fileMode)
}

// startAll starts every process, and waits until traffic starts.
func (s *system) startAll() error {
	for _, each := range s.processes {
		if err := each.start(); err != nil {
			return err
		}
		s.record.line("%s %s starts at %s", each.role, each.node, each.address)
	}
	time.Sleep(settleTime)
	return s.endBootstrap()
}

// endBootstrap changes the settings to those of a later start: only the first start of the whole system has
// bootstrap set.
func (s *system) endBootstrap() error {
	for _, each := range s.processes {
		text, err := os.ReadFile(each.settings)
		if err != nil {
			return err
		}
		if err := os.WriteFile(each.settings, []byte(strings.Replace(string(text), "bootstrap: true", "bootstrap: false", 1)), fileMode); err != nil {
			return err
		}
	}
	return nil
}

// find returns the process of a node.
func (s *system) find(node string) *process {
	for _, each := range s.processes {
		if each.node == node {
			return each
		}
	}
	return nil
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	command := exec.Command(p.binary, p.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "BARLEYSHELF_CONFIG=" + p.settings}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		log.Close()
		return err
	}
	ended := make(chan struct{})
	p.command, p.ended = command, ended
	go func() {
		_ = command.Wait()
		log.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal and, where that ends the process, waits for its end.
func (p *process) signal(signal syscall.Signal) {
	p.mutex.Lock()
	command, ended := p.command, p.ended
	p.mutex.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(signal)
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		<-ended
	}
}

// close ends all processes and the store.
func (s *system) close() {
	for _, each := range s.processes {
		each.signal(syscall.SIGKILL)
	}
	s.store.close()
}
