//! What client connections and statements cost a proxy, and what db hosts see of many proxies: on real processes of the
//! program, between stand-ins.

use std::io;

use super::{Measured, Scale};
use crate::Setting;

pub fn measure(_: Scale, _: &Setting, _: &mut dyn FnMut(&str)) -> io::Result<Measured> {
    Ok(Measured::default())
}
