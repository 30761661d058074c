package zlconfig

import "fmt"

const text = `[daemon]
name = %q
dataCentre = %q
deployment = %q
[listen]
caller = %q
admin = %q
peer = %q
[platform]
address = %q
[keys]
certificate = %q
key = %q
authority = %q
`

// Text returns a settings file for what has no default, and for the stop and the
// log where they are set: what those who start daemons write.
func (c *Config) Text() string {
	out := fmt.Sprintf(text, c.Name, c.DataCentre, c.Deployment, c.CallerListen, c.AdminListen, c.PeerListen,
		c.PlatformAddress, c.Certificate, c.Key, c.Authority)
	if c.StopGrace > 0 && c.StopLimit > 0 {
		out += fmt.Sprintf("[stop]\ngrace = %q\nlimit = %q\n", c.StopGrace, c.StopLimit)
	}
	if c.LogLevel != "" {
		out += fmt.Sprintf("[log]\nlevel = %q\n", c.LogLevel)
	}
	return out
}
