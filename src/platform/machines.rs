//! Client of the platform's interface for machines, and the encoding of upkeep waves.

use super::http::{
    CallFailure,
    HttpClient, //
};
use super::store::WAVE_STATES_PREFIX;
use crate::network_bytes::BytePurpose;
use crate::scheduler::{
    MachineInfo,
    MachineState,
    UpkeepOutcome,
    WaveOrder, //
};
use awc::http::{
    Method,
    StatusCode, //
};
use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};

/// Timeout of a call. Like the store, the interface answers within a few milliseconds, or
/// a few hundred when it is slow.
const CALL_TIMEOUT_MS: u64 = 1_500;
/// Most pages of the list that are read, far more than the largest fleet has.
const MAX_PAGES: usize = 200;
const HOLDER_HEADER: &str = "Duty-Holder";
const EPOCH_HEADER: &str = "Fencing-Token";

#[derive(Deserialize)]
struct MachineBody {
    machine: String,
    #[serde(default)]
    state: String,
    #[serde(default)]
    id: Option<String>,
}

#[derive(Deserialize)]
struct PageBody {
    #[serde(default)]
    machines: Vec<MachineBody>,
    #[serde(default)]
    next_page_token: Option<serde_json::Value>,
}

#[derive(Serialize)]
struct UpkeepBody<'a> {
    machine: &'a str,
    wave: u64,
}

#[derive(Default, Deserialize)]
struct RefusalBody {
    #[serde(default)]
    reason: String,
}

#[derive(Deserialize)]
struct WaveBody {
    wave: u64,
    #[serde(default)]
    machines: Vec<String>,
    #[serde(default)]
    duration_s: f64,
    #[serde(default)]
    cap: u32,
}

#[derive(Serialize, Deserialize)]
struct WaveStateBody {
    state: String,
}

const RUNNING: &str = "running";
const COMPLETED: &str = "completed";

/// Client of the interface for machines. It stays on one thread.
#[derive(Clone)]
pub struct MachineClient {
    http: HttpClient,
    address: String,
    holder: String,
}

impl MachineClient {
    /// Creates a client that gives orders in the name of `holder`.
    pub fn new(http: HttpClient, address: &str, holder: &str) -> Self {
        Self {
            http,
            address: address.to_owned(),
            holder: holder.to_owned(),
        }
    }

    /// Closes all idle connections now, and the others when their calls have ended.
    pub fn close_connections(&self) {
        self.http.close_connections();
    }

    /// Lists all machines.
    ///
    /// # Errors
    ///
    /// A page was not received or cannot be decoded, or there are too many pages.
    pub async fn list(&self) -> Result<Vec<MachineInfo>, CallFailure> {
        let mut machines = Vec::new();
        let mut token = String::new();
        for _ in 0..MAX_PAGES {
            let mut url = format!("http://{}/-/machines", self.address);
            if !token.is_empty() {
                let query = serde_urlencoded::to_string([("page_token", &token)]);
                url = format!("{url}?{}", query.map_err(|_| CallFailure::NotSent)?);
            }
            let call = self.http.call(
                BytePurpose::Other,
                Method::GET,
                url,
                &[],
                None,
                CALL_TIMEOUT_MS,
            );
            let (status, body) = call.await?;
            let page: Option<PageBody> = serde_json::from_slice(&body).ok();
            let Some(page) = page.filter(|_| status == StatusCode::OK) else {
                log::debug!("cannot read the list of machines: status {status}");
                return Err(CallFailure::NoAnswer);
            };
            machines.extend(page.machines.into_iter().map(machine_of));
            token = match page.next_page_token {
                Some(serde_json::Value::String(token)) => token,
                Some(serde_json::Value::Number(token)) => token.to_string(),
                _ => return Ok(machines),
            };
            if token.is_empty() {
                return Ok(machines);
            }
        }
        Err(CallFailure::NoAnswer)
    }

    /// Orders the upkeep of a machine.
    pub async fn order_upkeep(&self, wave: u64, machine: &str, epoch: u64) -> UpkeepOutcome {
        let url = format!("http://{}/-/machine-upkeep", self.address);
        let epoch = epoch.to_string();
        let headers = [
            (HOLDER_HEADER, self.holder.as_str()),
            (EPOCH_HEADER, epoch.as_str()),
        ];
        let body = UpkeepBody { machine, wave };
        let call = self
            .http
            .post(BytePurpose::Other, url, &headers, &body, CALL_TIMEOUT_MS);
        match call.await {
            Ok((status, body)) => outcome_of(status, &body),
            Err(_) => UpkeepOutcome::NoAnswer,
        }
    }
}

fn machine_of(body: MachineBody) -> MachineInfo {
    MachineInfo {
        machine: body.machine,
        state: match body.state.as_str() {
            "up" => MachineState::Up,
            "upkeep" => MachineState::Upkeep,
            _ => MachineState::Away,
        },
        worker_name: body.id.filter(|id| !id.is_empty()),
    }
}

fn outcome_of(status: StatusCode, body: &Bytes) -> UpkeepOutcome {
    match status {
        StatusCode::OK => UpkeepOutcome::Begun,
        StatusCode::BAD_REQUEST => UpkeepOutcome::NotOfWave,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => UpkeepOutcome::Limited,
        StatusCode::CONFLICT => {
            // An unknown reason is treated as the mildest, a machine that is not up.
            let body: RefusalBody = serde_json::from_slice(body).unwrap_or_default();
            match body.reason.as_str() {
                "fence" => UpkeepOutcome::Fenced,
                "wave" => UpkeepOutcome::NotOfWave,
                _ => UpkeepOutcome::Busy,
            }
        }
        _ => UpkeepOutcome::NoAnswer,
    }
}

/// Decodes a wave that the operator wrote.
///
/// # Errors
///
/// The bytes are not a valid wave.
pub fn decode_wave(value: &[u8]) -> Result<WaveOrder, serde_json::Error> {
    use serde::de::Error;
    /// Longest accepted duration, 30 years: sums with it stay in range.
    const MAX_DURATION_S: f64 = 1e9;
    let body: WaveBody = serde_json::from_slice(value)?;
    if !(0.0..=MAX_DURATION_S).contains(&body.duration_s) {
        return Err(Error::custom("duration_s is out of range"));
    }
    Ok(WaveOrder {
        number: body.wave,
        machines: body.machines,
        duration_ms: (body.duration_s * 1_000.0) as u64,
        cap: body.cap,
    })
}

/// Returns the key under which the operator reads the state of a wave.
pub fn wave_state_key(wave: u64) -> String {
    format!("{WAVE_STATES_PREFIX}{wave}")
}

/// Encodes the state of a wave for the operator.
pub fn encode_wave_state(completed: bool) -> Bytes {
    let state = if completed { COMPLETED } else { RUNNING };
    let body = WaveStateBody {
        state: state.to_owned(),
    };
    // Encoding a struct of one string cannot fail.
    Bytes::from(serde_json::to_vec(&body).unwrap_or_default())
}

/// Returns whether an encoded wave state says that the wave is completed.
///
/// # Errors
///
/// The bytes are not a valid wave state.
pub fn is_wave_completed(value: &[u8]) -> Result<bool, serde_json::Error> {
    let body: WaveStateBody = serde_json::from_slice(value)?;
    Ok(body.state == COMPLETED)
}
