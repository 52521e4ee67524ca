//! Translates between the wire formats of the operators' platform and the types of the
//! scheduler and the cluster. No other module knows the platform's paths and fields.

mod configuration;
mod connections;
mod http;
mod ingress;
mod machines;
mod registration;
mod settings;
mod store;
mod workers;

pub use configuration::decode_configuration;
pub use connections::{
    ConnectionLimits,
    Priority, //
};
pub use http::{
    CallFailure,
    HttpClient,
    HttpRequest, //
};
pub use ingress::{
    READINESS_PATH,
    account_key, //
    client_timeout_ms,
    decode_job,
    encode_pending,
    encode_state,
};
pub use machines::{
    MachineClient,
    decode_wave,
    encode_wave_state,
    is_wave_completed,
    wave_state_key, //
};
pub use registration::{
    MAX_ENTRY_BYTES,
    WorkerEntryError,
    decode_worker, //
};
pub use settings::{
    SETTINGS_VARIABLE,
    SettingsError,
    read_settings, //
};
pub use store::{
    CONFIGURATION_KEY,
    EMPTYING_PREFIX,
    OPERATOR_PREFIX,
    StoreClient,
    WAVE_STATES_PREFIX,
    WAVES_PREFIX,
    WORKERS_PREFIX,
    emptied_data_centre, //
};
pub use workers::WorkerClient;
