package zlconfig

import "fmt"

// textTemplate is a settings file with all required keys.
const textTemplate = `[daemon]
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

// Text returns c as a settings file for programs that start daemons. The file has
// the required keys, the stop table if both of its values are above zero, and the log
// level if it is set. PlatformTimeout and PeerSeeds are left out.
func (c *Config) Text() string {
	out := fmt.Sprintf(textTemplate, c.Name, c.DataCentre, c.Deployment, c.CallerListen, c.AdminListen, c.PeerListen,
		c.PlatformAddress, c.Certificate, c.Key, c.Authority)
	if c.StopGrace > 0 && c.StopLimit > 0 {
		out += fmt.Sprintf("[stop]\ngrace = %q\nlimit = %q\n", c.StopGrace, c.StopLimit)
	}
	if c.LogLevel != "" {
		out += fmt.Sprintf("[log]\nlevel = %q\n", c.LogLevel)
	}
	return out
}
