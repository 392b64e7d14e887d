//! The operator's configurations.

/// A tenant with its keys and its limit.
#[derive(Debug, Clone)]
pub struct Tenant {
    pub name: &'static str,
    pub keys: &'static [&'static str],
    pub rate: u32,
    pub burst: u32,
}

/// A route to one service.
#[derive(Debug, Clone)]
pub struct Route {
    pub name: &'static str,
    pub host: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub timeout_s: f64,
    pub service: &'static str,
}

/// Builds the value of the row `op/config`, as `fleetbench wire` shows it.
pub fn config(version: u32, routes: &[Route], tenants: &[Tenant]) -> String {
    let rows: Vec<String> = routes
        .iter()
        .map(|r| {
            let Route { name, host, prefix, kind, timeout_s, service } = r;
            format!(
                r#"["{name}","{host}","{prefix}","{kind}",{timeout_s},0.4,1,null,2,false,true,[],"{service}"]"#
            )
        })
        .collect();
    let mut services: Vec<&str> = routes.iter().map(|r| r.service).collect();
    services.sort_unstable();
    services.dedup();
    let services: Vec<String> = services
        .iter()
        .map(|s| format!(r#"["{s}","/health",330,"h1",false,3.0,4.4]"#))
        .collect();
    let tenants: Vec<String> = tenants
        .iter()
        .map(|t| {
            let keys: Vec<String> = t.keys.iter().map(|k| format!("\"{k}\"")).collect();
            let Tenant {
                name, rate, burst, ..
            } = t;
            format!(r#"["{name}",[{}],1,{rate},{burst},[]]"#, keys.join(","))
        })
        .collect();
    format!(
        r#"{{"version":"{version:08x}","routes":{{"columns":["name","host","prefix","kind","timeout_s","target_latency_s","priority","backends","max_attempts","public","sticky","allowed_regions","service"],"rows":[{}]}},"services":{{"columns":["name","health_path","max_connections","protocol","tls","cold_start_s","cold_per_s"],"rows":[{}]}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}},"tenants":{{"columns":["name","api_keys","priority","rate_per_s","burst","allowed_regions"],"rows":[{}]}}}}"#,
        rows.join(","),
        services.join(","),
        tenants.join(",")
    )
}
