//! Which loopback connections belong to a process, as the kernel tells.

use std::collections::BTreeSet;
use std::path::Path;

/// Local ports of the IPv4 sockets of a process; none of one that has ended.
pub(super) fn ports_of(process: u32) -> BTreeSet<u16> {
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

/// Of a line of the kernel's table: the local address is the second field, in
/// hexadecimal digits, the inode the tenth.
fn port_and_inode(line: &str) -> Option<(u16, &str)> {
    let mut fields = line.split_whitespace().skip(1);
    let (_, port) = fields.next()?.split_once(':')?;
    let port = u16::from_str_radix(port, 16).ok()?;
    Some((port, fields.nth(7)?))
}
