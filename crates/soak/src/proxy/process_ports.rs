//! Finds the loopback connections of a process in /proc.

use std::collections::BTreeSet;
use std::path::Path;

/// Returns the local ports of the IPv4 sockets of a process; none if it has
/// ended.
pub(super) fn local_ports(process: u32) -> BTreeSet<u16> {
    let folder = Path::new("/proc").join(process.to_string());
    let Ok(files) = std::fs::read_dir(folder.join("fd")) else {
        return BTreeSet::new();
    };
    let mut inodes = BTreeSet::new();
    for file in files.flatten() {
        let Ok(target) = std::fs::read_link(file.path()) else {
            continue;
        };
        let target = target.to_string_lossy();
        let inode = target.strip_prefix("socket:[");
        inodes.extend(
            inode
                .and_then(|rest| rest.strip_suffix(']'))
                .map(str::to_owned),
        );
    }
    let table = std::fs::read_to_string(folder.join("net/tcp")).unwrap_or_default();
    let ports = table.lines().skip(1).filter_map(|line| {
        let (port, inode) = port_and_inode(line)?;
        inodes.contains(inode).then_some(port)
    });
    ports.collect()
}

/// Parses a line of /proc/PID/net/tcp: the second field is the local address,
/// in hexadecimal digits, and the tenth the inode.
fn port_and_inode(line: &str) -> Option<(u16, &str)> {
    let mut fields = line.split_whitespace().skip(1);
    let (_, port) = fields.next()?.split_once(':')?;
    let port = u16::from_str_radix(port, 16).ok()?;
    Some((port, fields.nth(7)?))
}
